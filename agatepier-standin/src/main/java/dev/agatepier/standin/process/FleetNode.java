package dev.agatepier.standin.process;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.agatepier.core.connection.Role;
import dev.agatepier.core.version.Instance;
import dev.agatepier.standin.process.internal.Json;
import java.util.Objects;

/**
 * A router or sidecar of a fleet of child processes, with its endpoints and settings.
 *
 * @param name name of the instance
 * @param role whether it is a router or a sidecar
 * @param dataCentre its data centre
 * @param region region of that data centre
 * @param front endpoint for callers of a router, or of the upstream of a sidecar
 * @param links endpoint on which it accepts links from other nodes
 * @param advertised endpoint of its links in the instance list; may be that of a proxy
 * @param administration endpoint of its administration interface
 * @param service service of a sidecar; empty for a router
 * @param policy policy section of its settings
 */
public record FleetNode(
    String name,
    Role role,
    String dataCentre,
    String region,
    Endpoint front,
    Endpoint links,
    Endpoint advertised,
    Endpoint administration,
    String service,
    ObjectNode policy) {

  /** Rejects null components. */
  public FleetNode {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(role, "role");
    Objects.requireNonNull(dataCentre, "dataCentre");
    Objects.requireNonNull(region, "region");
    Objects.requireNonNull(front, "front");
    Objects.requireNonNull(links, "links");
    Objects.requireNonNull(advertised, "advertised");
    Objects.requireNonNull(administration, "administration");
    Objects.requireNonNull(service, "service");
    Objects.requireNonNull(policy, "policy");
  }

  /** Returns a router on free ports of an address, with the default policy. */
  public static FleetNode router(String name, String dataCentre, String region, String address) {
    Endpoint links = Endpoint.onFreePort(address);
    return new FleetNode(
        name,
        Role.ROUTER,
        dataCentre,
        region,
        Endpoint.onFreePort(address),
        links,
        links,
        Endpoint.onFreePort(address),
        "",
        Json.object());
  }

  /** Returns a sidecar on free ports of its upstream's address, with the default policy. */
  public static FleetNode sidecar(
      String name, String dataCentre, String region, String service, Endpoint upstream) {
    Endpoint links = Endpoint.onFreePort(upstream.address());
    return new FleetNode(
        name,
        Role.SIDECAR,
        dataCentre,
        region,
        upstream,
        links,
        links,
        Endpoint.onFreePort(upstream.address()),
        service,
        Json.object());
  }

  /** Returns a copy with another policy. */
  public FleetNode withPolicy(ObjectNode newPolicy) {
    return new FleetNode(
        name,
        role,
        dataCentre,
        region,
        front,
        links,
        advertised,
        administration,
        service,
        newPolicy);
  }

  /** Returns a copy that the instance list advertises at another endpoint, such as a proxy's. */
  public FleetNode withAdvertised(Endpoint endpoint) {
    return new FleetNode(
        name, role, dataCentre, region, front, links, endpoint, administration, service, policy);
  }

  /** Returns the node's entry of the instance list. */
  public Instance toInstance(boolean leaving) {
    return new Instance(
        name,
        role,
        advertised.address(),
        advertised.port(),
        administration.port(),
        dataCentre,
        region,
        service,
        leaving);
  }

  /** Returns the content of the node's settings file. */
  String settingsJson(String keyFile, String secretFile, String platformAddress) {
    ObjectNode root =
        Json.object().put("instance", name).put("dataCentre", dataCentre).put("region", region);
    if (role == Role.ROUTER) {
      root.set("callers", endpointJson(front));
    } else {
      root.set("upstream", endpointJson(front));
      root.put("service", service);
    }
    root.set("links", endpointJson(links));
    root.set("administration", endpointJson(administration).put("keyFile", keyFile));
    root.set("platform", Json.object().put("address", platformAddress));
    root.set("security", Json.object().put("secretFile", secretFile));
    root.set("policy", policy);
    return Json.writeIndented(root);
  }

  private static ObjectNode endpointJson(Endpoint endpoint) {
    return Json.object().put("address", endpoint.address()).put("port", endpoint.port());
  }
}
