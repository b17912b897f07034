package dev.agatepier.standin.process.internal;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.agatepier.standin.process.RegionalLayout.Policy;
import java.util.List;

/** The policies that an experiment compares, as settings of the fleet's processes. */
final class ExperimentPolicy {

  /** Names of all policies, the fleet's own first. */
  static final List<String> NAMES =
      List.of("late-binding", "local-service", "first-come", "two-choices", "no-affinity");

  /** Slots that no upstream ever fills, so that its own queue takes what arrives. */
  private static final int UNBOUNDED_SLOTS = 100_000;

  private ExperimentPolicy() {}

  /**
   * Returns the settings of a policy.
   *
   * <p>{@code two-choices} stands for a router that pushes each request at once to the less loaded
   * of two sidecars, whose engine queues it. It is approximated: the router knows of the load that
   * it made itself, and a request still asks for its grant, which an unbounded slot policy gives
   * without delay.
   */
  static Policy forName(String name) {
    return switch (name) {
      case "late-binding" -> new Policy(Json.object(), Json.object());
      case "local-service", "first-come" ->
          new Policy(Json.object(), Json.object().put("order", name));
      case "two-choices" ->
          new Policy(Json.object().put("binding", name), unbounded().put("order", "first-come"));
      case "no-affinity" -> new Policy(Json.object().put("affinityMillis", 0), Json.object());
      default -> throw new IllegalArgumentException("no policy is named " + name);
    };
  }

  private static ObjectNode unbounded() {
    return Json.object().put("minimumSlots", UNBOUNDED_SLOTS).put("maximumSlots", UNBOUNDED_SLOTS);
  }
}
