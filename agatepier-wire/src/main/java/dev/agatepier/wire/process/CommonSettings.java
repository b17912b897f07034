package dev.agatepier.wire.process;

import dev.agatepier.core.process.VersionPolicy;
import java.util.List;
import java.util.Optional;

/**
 * What both programs are told.
 *
 * @param instance name of the own instance, as the platform lists it
 * @param dataCentre own data centre
 * @param region region of that data centre
 * @param links where peers connect to
 * @param seeds where peers are looked for that no platform lists; the own one may be among them
 * @param heartbeatMillis time between two heartbeats of a link, in milliseconds
 * @param administration where the administration API listens
 * @param administrationKey key of the administration API
 * @param metrics where metrics are read as text, if they are
 * @param platformAddress base address of the platform, such as {@code http://127.0.0.1:7000}
 * @param secret shared secret that peers prove to hold
 * @param tls certificates for links, if they are encrypted
 * @param limits bounds on what one caller or peer may send
 * @param versions how table and instance list are followed
 * @param stop how long a planned stop may take
 */
public record CommonSettings(
    String instance,
    String dataCentre,
    String region,
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
