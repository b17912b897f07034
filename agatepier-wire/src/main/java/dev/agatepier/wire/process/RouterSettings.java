package dev.agatepier.wire.process;

import dev.agatepier.core.process.RouterPolicy;
import dev.agatepier.core.process.SlotAllocatorPolicy;
import java.util.Optional;

/**
 * What a router is told.
 *
 * @param common what both programs are told
 * @param callers where callers connect to
 * @param policy what operators set about its decisions
 * @param slots what operators set about the slots it keeps
 * @param readiness where a balancer asks whether it takes new connections, if one does
 */
public record RouterSettings(
    CommonSettings common,
    Endpoint callers,
    RouterPolicy policy,
    SlotAllocatorPolicy slots,
    Optional<Endpoint> readiness) {}
