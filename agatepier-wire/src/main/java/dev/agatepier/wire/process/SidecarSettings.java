package dev.agatepier.wire.process;

import dev.agatepier.core.process.SidecarPolicy;

/**
 * Settings of a sidecar.
 *
 * @param common settings that routers and sidecars have in common
 * @param service service of its upstream
 * @param upstream endpoint of its upstream
 * @param policy policy of its decision
 */
public record SidecarSettings(
    CommonSettings common, String service, Endpoint upstream, SidecarPolicy policy) {}
