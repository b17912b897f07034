package dev.agatepier.wire.connection.internal;

import dev.agatepier.core.connection.LinkMessage.Heartbeat;
import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.process.MonotonicClock;
import dev.agatepier.core.request.Bytes;
import dev.agatepier.wire.connection.LinkSettings;
import dev.agatepier.wire.connection.MessageCodec;
import java.util.function.Supplier;
import reactor.core.scheduler.Scheduler;
import reactor.netty.resources.LoopResources;

/**
 * Dependencies shared by all links of a process.
 *
 * @param self identity sent to peers
 * @param secret shared secret of the fleet
 * @param settings timeouts and limits of links
 * @param heartbeat supplies the next heartbeat
 * @param clock monotonic clock of the process
 * @param codec encodes and decodes messages
 * @param directory tracks the active link to each peer
 * @param eventLoops event loops of the sockets
 * @param scheduler runs the tasks that open and register links
 */
public record LinkContext(
    PeerIdentity self,
    Bytes secret,
    LinkSettings settings,
    Supplier<Heartbeat> heartbeat,
    MonotonicClock clock,
    MessageCodec codec,
    LinkDirectory directory,
    LoopResources eventLoops,
    Scheduler scheduler) {}
