package dev.agatepier.standin.process.internal;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.agatepier.standin.process.RegionalLayout.Policy;
import java.util.List;

/** The policies that an experiment compares, as settings of the fleet's processes. */
final class ExperimentPolicy {

  /** Names of all policies; the first is the default policy of a fleet. */
  static final List<String> NAMES =
      List.of("late-binding", "local-service", "first-come", "two-choices", "no-affinity");

  /**
   * A number of slots that an upstream never uses up, so that requests wait in the upstream's own
   * queue.
   */
  private static final int UNBOUNDED_SLOTS = 100_000;

  private ExperimentPolicy() {}

  /**
   * Returns the settings of a policy.
   *
   * <p>{@code two-choices} approximates a router that pushes each request immediately to the less
   * loaded of two sidecars, whose engine queues it. It differs in two ways: the router only knows
   * the load that it caused itself, and a request still asks for a grant, which the unbounded
   * number of slots gives without delay.
   */
  static Policy forName(String name) {
    return switch (name) {
      case "late-binding" -> new Policy(Json.object(), Json.object());
      case "local-service", "first-come" ->
          new Policy(Json.object(), Json.object().put("order", name));
      case "two-choices" ->
          new Policy(
              Json.object().put("binding", name), unboundedSlots().put("order", "first-come"));
      case "no-affinity" -> new Policy(Json.object().put("affinityMillis", 0), Json.object());
      default -> throw new IllegalArgumentException("unknown policy: " + name);
    };
  }

  private static ObjectNode unboundedSlots() {
    return Json.object().put("minimumSlots", UNBOUNDED_SLOTS).put("maximumSlots", UNBOUNDED_SLOTS);
  }
}
