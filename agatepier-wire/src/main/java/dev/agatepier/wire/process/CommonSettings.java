package dev.agatepier.wire.process;

import dev.agatepier.core.process.VersionPolicy;
import java.util.List;
import java.util.Optional;

/**
 * Settings that routers and sidecars have in common.
 *
 * @param instance name of this instance, as listed by the platform
 * @param dataCentre data centre of this instance
 * @param region region of that data centre
 * @param processor processor time of this instance
 * @param links endpoint that accepts links from peers
 * @param seeds endpoints for the discovery of peers that no platform lists; may include this
 *     instance
 * @param heartbeatMillis heartbeat interval of a link, in milliseconds
 * @param administration endpoint of the administration API
 * @param administrationKey key of the administration API
 * @param metrics endpoint that serves metrics as text; empty for none
 * @param platformAddress base address of the platform, such as {@code http://127.0.0.1:7000}
 * @param secret shared secret that peers prove they know
 * @param tls certificates for links; empty if links are not encrypted
 * @param limits limits on connections and on the size of requests
 * @param versions policy for distributing the table and the instance list
 * @param stop time limits of a graceful stop
 */
public record CommonSettings(
    String instance,
    String dataCentre,
    String region,
    ProcessorSettings processor,
    Endpoint links,
    List<Endpoint> seeds,
    int heartbeatMillis,
    Endpoint administration,
    Secret administrationKey,
    Optional<Endpoint> metrics,
    String platformAddress,
    Secret secret,
    Optional<TlsSettings> tls,
    LimitSettings limits,
    VersionPolicy versions,
    StopSettings stop) {}
