package dev.agatepier.core.version;

import dev.agatepier.core.request.CallPlan;
import java.util.List;
import java.util.Objects;

/**
 * Where calls of a host and path prefix go.
 *
 * @param host host name, lower case, without port
 * @param prefix start of the path, with its first and last slash
 * @param services services that share the calls; at least one
 * @param plan what operators want for the calls
 * @param open whether calls need no key
 */
public record Route(
    String host, String prefix, List<WeightedService> services, CallPlan plan, boolean open) {

  /** Checks the parts and copies the services. */
  public Route {
    Objects.requireNonNull(host, "host");
    Objects.requireNonNull(prefix, "prefix");
    Objects.requireNonNull(plan, "plan");
    services = List.copyOf(services);
    if (services.isEmpty() || weight(services) <= 0) {
      throw new IllegalArgumentException("a route names no service that has a weight");
    }
  }

  /**
   * One service of a route.
   *
   * @param service name of the service
   * @param weight its share of the calls, relative to the others
   */
  public record WeightedService(String service, double weight) {

    /** Checks that the service is named and the weight is not negative. */
    public WeightedService {
      Objects.requireNonNull(service, "service");
      if (!(weight >= 0)) {
        throw new IllegalArgumentException("weight " + weight + " is negative");
      }
    }
  }

  /**
   * Returns the service of one call.
   *
   * @param draw random number from 0, inclusive, to 1, exclusive
   */
  public String service(double draw) {
    double left = draw * weight(services);
    for (WeightedService candidate : services) {
      left -= candidate.weight();
      if (left < 0) {
        return candidate.service();
      }
    }
    return services.getLast().service();
  }

  private static double weight(List<WeightedService> services) {
    return services.stream().mapToDouble(WeightedService::weight).sum();
  }
}
