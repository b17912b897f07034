package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.SlotMessage.WaitingCall;
import dev.agatepier.core.request.PromptMetadata;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The rejections of a slot allocator whose callers may come back. A repeated request has another
 * identity and comes from any router; it is recognised by its workspace, route and prompt, and
 * because its caller waits until the same time as before. Requests without a prompt are not
 * recognised: many of a workspace are alike and arrive within the tolerance of that time.
 */
final class RejectedCallers {

  /** Upper bound of the remembered rejections: those of 7 s at about 600 a second. */
  private static final int MAXIMUM = 4_096;

  /** Time after which a caller that has not come back is forgotten: an upper bound of its way. */
  private static final long GRACE_NANOS = 2_000_000_000L;

  /**
   * Tolerance of the time until which a caller waits. It states the rest as a whole number when it
   * sends the request, which then takes some milliseconds to arrive.
   */
  private static final long DEADLINE_ERROR_NANOS = 100_000_000L;

  private static final long NANOS_PER_MILLI = 1_000_000;

  private final Map<Key, Rejection> rejections = new LinkedHashMap<>();

  /** What a caller sends again unchanged. */
  private record Key(String workspace, String route, Optional<PromptMetadata> prompt) {

    private static Key of(WaitingCall call) {
      return new Key(call.workspace(), call.route(), call.prompt());
    }
  }

  /**
   * A rejection.
   *
   * @param firstNanos time of the caller's first attempt, as far as known
   * @param deadlineNanos time until which the caller waits
   * @param returnNanos time at which the caller was advised to come back
   */
  record Rejection(long firstNanos, long deadlineNanos, long returnNanos) {}

  /** Returns whether a request can be recognised when it is repeated. */
  static boolean recognisable(WaitingCall call) {
    return call.prompt().filter(prompt -> !prompt.parts().isEmpty()).isPresent();
  }

  /** Records a rejection; an earlier one of the same caller is replaced. */
  void record(WaitingEntry entry, long returnNanos, long nowNanos) {
    if (!recognisable(entry.call)) {
      return;
    }
    Key key = Key.of(entry.call);
    rejections.remove(key);
    rejections.put(
        key, new Rejection(entry.firstNanos, deadlineNanos(entry.call, nowNanos), returnNanos));
    removeOld(nowNanos);
  }

  /** Returns the rejection after which a request that arrives now is a repetition. */
  Optional<Rejection> find(WaitingCall call, long nowNanos) {
    return Optional.ofNullable(rejections.get(Key.of(call)))
        .filter(
            found ->
                Math.abs(found.deadlineNanos - deadlineNanos(call, nowNanos))
                    <= DEADLINE_ERROR_NANOS);
  }

  private void removeOld(long nowNanos) {
    Iterator<Rejection> oldest = rejections.values().iterator();
    while (oldest.hasNext()
        && (oldest.next().returnNanos + GRACE_NANOS < nowNanos || rejections.size() > MAXIMUM)) {
      oldest.remove();
    }
  }

  private static long deadlineNanos(WaitingCall call, long nowNanos) {
    return nowNanos + call.timeLeftMillis() * NANOS_PER_MILLI;
  }
}
