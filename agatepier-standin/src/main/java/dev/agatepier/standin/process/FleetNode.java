package dev.agatepier.standin.process;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.agatepier.core.connection.Role;
import dev.agatepier.core.version.Instance;
import dev.agatepier.standin.process.internal.Json;
import java.util.Objects;

/**
 * A router or sidecar of a trial fleet.
 *
 * @param name name of the instance
 * @param role what it does
 * @param dataCentre its data centre
 * @param region region of that data centre
 * @param front where callers reach a router, or the upstream beside a sidecar
 * @param links where other processes reach it
 * @param advertised where the instance list says that it is reached; a proxy may stand there
 * @param administration where operators reach it
 * @param service service of a sidecar; empty for a router
 * @param policy settings of its policy
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

  /** Checks that every part is present. */
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

  /** Returns a router at free ports of an address. */
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

  /** Returns a sidecar at free ports of its upstream's address. */
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

  /** Returns the node with a policy. */
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

  /** Returns the node as the instance list names it at an endpoint, such as one of a proxy. */
  public FleetNode withAdvertised(Endpoint endpoint) {
    return new FleetNode(
        name, role, dataCentre, region, front, links, endpoint, administration, service, policy);
  }

  /** Returns its entry in the instance list. */
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

  /** Returns its settings in JSON. */
  String settingsJson(String keyFile, String secretFile, String platformAddress) {
    ObjectNode root =
        Json.object().put("instance", name).put("dataCentre", dataCentre).put("region", region);
    if (role == Role.ROUTER) {
      root.set("callers", json(front));
    } else {
      root.set("upstream", json(front));
      root.put("service", service);
    }
    root.set("links", json(links));
    root.set("administration", json(administration).put("keyFile", keyFile));
    root.set("platform", Json.object().put("address", platformAddress));
    root.set("security", Json.object().put("secretFile", secretFile));
    root.set("policy", policy);
    return Json.writeIndented(root);
  }

  private static ObjectNode json(Endpoint endpoint) {
    return Json.object().put("address", endpoint.address()).put("port", endpoint.port());
  }
}
