package dev.agatepier.core.process.internal;

import dev.agatepier.core.process.SidecarPolicy;
import dev.agatepier.core.version.ServiceKind;

/** Limits how many attempts may run at one time. */
public interface SlotLimit {

  /** Returns the current limit. */
  int slots();

  /**
   * Records the time between two tokens of a stream.
   *
   * @param gapMillis time between the tokens, in milliseconds
   * @param allInUse whether every slot was in use
   */
  void onTokenGap(double gapMillis, boolean allInUse);

  /** Returns an adaptive limit for model services and a fixed limit for others. */
  static SlotLimit of(ServiceKind kind, SidecarPolicy policy) {
    return kind == ServiceKind.MODEL ? byName("adaptive", policy) : byName("fixed", policy);
  }

  /**
   * Returns a new limit of the named type.
   *
   * @throws IllegalArgumentException if the name is neither "adaptive" nor "fixed"
   */
  static SlotLimit byName(String name, SidecarPolicy policy) {
    return switch (name) {
      case "adaptive" ->
          new AdaptiveSlots(policy.minimumSlots(), policy.maximumSlots(), policy.tokenGapMillis());
      case "fixed" -> new FixedSlots(policy.maximumSlots());
      default ->
          throw new IllegalArgumentException(
              "unknown slot limit (expected adaptive or fixed): " + name);
    };
  }
}
