package dev.agatepier.core.version;

import dev.agatepier.core.request.CallPlan;
import java.util.List;
import java.util.Objects;

/**
 * Route from a host and path prefix to the services that handle its calls.
 *
 * @param host host name, lower case, without port
 * @param prefix path prefix, including its first and last slash
 * @param services services among which the calls are divided; at least one
 * @param plan retry, timeout and latency settings of the calls
 * @param open whether calls are allowed without a key
 * @param allowedRegions regions in which the calls may be processed
 */
public record Route(
    String host,
    String prefix,
    List<WeightedService> services,
    CallPlan plan,
    boolean open,
    AllowedRegions allowedRegions) {

  /** Creates a route whose calls may be processed in every region. */
  public Route(
      String host, String prefix, List<WeightedService> services, CallPlan plan, boolean open) {
    this(host, prefix, services, plan, open, AllowedRegions.ALL);
  }

  /** Rejects null parts and a total weight of 0; copies the services. */
  public Route {
    Objects.requireNonNull(host, "host");
    Objects.requireNonNull(prefix, "prefix");
    Objects.requireNonNull(plan, "plan");
    Objects.requireNonNull(allowedRegions, "allowedRegions");
    services = List.copyOf(services);
    if (services.isEmpty() || weight(services) <= 0) {
      throw new IllegalArgumentException(
          "route " + host + prefix + " has no service with a weight above 0");
    }
  }

  /**
   * One service of a route.
   *
   * @param service name of the service
   * @param weight share of the calls, relative to the weights of the other services
   */
  public record WeightedService(String service, double weight) {

    /** Rejects a null service and a weight that is negative, infinite or not a number. */
    public WeightedService {
      Objects.requireNonNull(service, "service");
      if (!(weight >= 0 && weight < Double.POSITIVE_INFINITY)) {
        throw new IllegalArgumentException(
            "weight "
                + weight
                + " of service "
                + service
                + " is not a finite number of at least 0");
      }
    }
  }

  /**
   * Selects the service of one call at random, in proportion to the weights.
   *
   * @param draw random number from 0 (inclusive) to 1 (exclusive)
   */
  public String service(double draw) {
    double remaining = draw * weight(services);
    for (WeightedService candidate : services) {
      remaining -= candidate.weight();
      if (remaining < 0) {
        return candidate.service();
      }
    }
    return services.getLast().service();
  }

  private static double weight(List<WeightedService> services) {
    return services.stream().mapToDouble(WeightedService::weight).sum();
  }
}
