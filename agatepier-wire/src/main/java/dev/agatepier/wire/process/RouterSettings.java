package dev.agatepier.wire.process;

import dev.agatepier.core.process.RouterPolicy;

/**
 * What a router is told.
 *
 * @param common what both programs are told
 * @param callers where callers connect to
 * @param policy what operators set about its decisions
 */
public record RouterSettings(CommonSettings common, Endpoint callers, RouterPolicy policy) {}
