package dev.agatepier.wire.process;

import dev.agatepier.core.process.SidecarPolicy;

/**
 * What a sidecar is told.
 *
 * @param common what both programs are told
 * @param service service of its upstream
 * @param upstream where its upstream listens
 * @param policy what operators set about its decisions
 */
public record SidecarSettings(
    CommonSettings common, String service, Endpoint upstream, SidecarPolicy policy) {}
