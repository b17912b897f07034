package dev.agatepier.core.process.internal;

/** Waiting requests, running attempts and cost of one workspace, as one sidecar knows them. */
public final class WorkspaceAccount {
  final String name;
  double weight;
  double virtualService;

  /**
   * Virtual service that decays faster, at most the virtual service. The two are equal while the
   * workspace is served at a constant rate; this one falls below when it is not served.
   */
  double recentService;

  double localCost;
  double fleetCost;
  int inFlight;
  int running;
  int waiting;
  long oldestSinceNanos;
  boolean demandLost;

  WorkspaceAccount(String name, double weight) {
    this.name = name;
    this.weight = weight;
  }

  /** Replaces the virtual service and adds to the recent one, which may be negative. */
  void setVirtualService(double value, double recentDifference) {
    virtualService = value;
    recentService = Math.max(0, Math.min(recentService + recentDifference, value));
  }

  /** Returns the name of the workspace. */
  public String name() {
    return name;
  }

  /** Returns the weight of the workspace. */
  public double weight() {
    return weight;
  }

  /** Returns the accumulated cost / weight, which the fair order compares. */
  public double virtualService() {
    return virtualService;
  }

  /** Returns the cost incurred here, decayed since, in cost units. */
  public double localCost() {
    return localCost;
  }

  /** Returns the cost incurred elsewhere, decayed since, in cost units. */
  public double fleetCost() {
    return fleetCost;
  }

  /** Returns the number of attempts running at this sidecar. */
  public int running() {
    return running;
  }

  /** Returns the number of requests that may be granted a slot. */
  public int waiting() {
    return waiting;
  }

  /** Returns whether the workspace has demand or holds a slot. */
  public boolean active() {
    return waiting > 0 || inFlight > 0;
  }
}
