package dev.agatepier.wire.connection.internal;

import dev.agatepier.core.connection.LinkMessage.Heartbeat;
import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.process.MonotonicClock;
import dev.agatepier.core.request.Bytes;
import dev.agatepier.wire.connection.LinkSettings;
import dev.agatepier.wire.connection.MessageCodec;
import java.util.function.Supplier;

/**
 * What all links of a process share.
 *
 * @param self identity that peers are told
 * @param secret the fleet's shared secret
 * @param settings settings of links
 * @param heartbeat contents of the next heartbeat
 * @param clock the process's monotonic clock
 * @param codec encodes messages
 * @param directory knows which link to a peer is in use
 */
public record LinkContext(
    PeerIdentity self,
    Bytes secret,
    LinkSettings settings,
    Supplier<Heartbeat> heartbeat,
    MonotonicClock clock,
    MessageCodec codec,
    LinkDirectory directory) {}
