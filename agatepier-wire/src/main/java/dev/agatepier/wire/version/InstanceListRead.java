package dev.agatepier.wire.version;

import dev.agatepier.core.version.InstanceList;
import dev.agatepier.core.version.ReadTimestamp;
import java.util.Optional;

/**
 * Result of {@link Platform#instances}.
 *
 * @param newer the list; empty if there is no newer version
 * @param readStarted start of a read which shows that this list, or the active one if it is empty,
 *     was the newest at that time; {@link ReadTimestamp#UNTIMED} if no read shows that
 */
public record InstanceListRead(Optional<InstanceList> newer, ReadTimestamp readStarted) {}
