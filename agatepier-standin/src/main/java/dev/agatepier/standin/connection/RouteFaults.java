package dev.agatepier.standin.connection;

/**
 * Faults injected into a proxied route.
 *
 * @param refuse whether new connections are reset immediately
 * @param toTarget faults of the direction to the target; null for none
 * @param toCaller faults of the direction to the caller; null for none
 */
public record RouteFaults(boolean refuse, DirectionFaults toTarget, DirectionFaults toCaller) {

  /** No faults. */
  public static final RouteFaults NONE = new RouteFaults(false, null, null);

  /** Replaces null by {@link DirectionFaults#NONE}. */
  public RouteFaults {
    toTarget = toTarget == null ? DirectionFaults.NONE : toTarget;
    toCaller = toCaller == null ? DirectionFaults.NONE : toCaller;
  }

  /** Returns the faults of a direction. */
  public DirectionFaults forDirection(Direction direction) {
    return direction == Direction.TO_TARGET ? toTarget : toCaller;
  }
}
