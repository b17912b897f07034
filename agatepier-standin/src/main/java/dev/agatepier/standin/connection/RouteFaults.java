package dev.agatepier.standin.connection;

/**
 * Faults of a proxied route.
 *
 * @param refuse whether new connections are reset at once
 * @param toTarget faults on the way to the target
 * @param toCaller faults on the way back
 */
public record RouteFaults(boolean refuse, DirectionFaults toTarget, DirectionFaults toCaller) {

  /** No fault. */
  public static final RouteFaults NONE = new RouteFaults(false, null, null);

  /** Takes an absent direction for one without faults. */
  public RouteFaults {
    toTarget = toTarget == null ? DirectionFaults.NONE : toTarget;
    toCaller = toCaller == null ? DirectionFaults.NONE : toCaller;
  }

  /** Returns the faults of a direction. */
  public DirectionFaults forDirection(Direction direction) {
    return direction == Direction.TO_TARGET ? toTarget : toCaller;
  }
}
