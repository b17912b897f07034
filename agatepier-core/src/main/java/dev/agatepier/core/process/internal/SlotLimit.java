package dev.agatepier.core.process.internal;

import dev.agatepier.core.process.SidecarPolicy;
import dev.agatepier.core.version.ServiceKind;

/** Says how many attempts may run at one time. */
public interface SlotLimit {

  /** Returns the number of slots. */
  int slots();

  /**
   * Takes in the time between tokens of one stream.
   *
   * @param gapMillis time from one token to the next, in milliseconds
   * @param allInUse whether every slot was in use
   */
  void onTokenGap(double gapMillis, boolean allInUse);

  /** Returns the limit that suits a kind of service. */
  static SlotLimit of(ServiceKind kind, SidecarPolicy policy) {
    return kind == ServiceKind.MODEL ? byName("adaptive", policy) : byName("fixed", policy);
  }

  /**
   * Returns the limit of a name.
   *
   * @throws IllegalArgumentException if there is none of that name
   */
  static SlotLimit byName(String name, SidecarPolicy policy) {
    return switch (name) {
      case "adaptive" ->
          new AdaptiveSlots(policy.minimumSlots(), policy.maximumSlots(), policy.tokenGapMillis());
      case "fixed" -> new FixedSlots(policy.maximumSlots());
      default -> throw new IllegalArgumentException("no slot limit is named " + name);
    };
  }
}
