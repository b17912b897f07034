package dev.agatepier.core.process.internal;

import dev.agatepier.core.process.internal.ServiceSlotsStatus.UpstreamStatus;
import dev.agatepier.core.request.RequestId;
import dev.agatepier.core.version.Upstream;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

/** What a slot keeper knows of one upstream: what it granted there and what it has seen since. */
final class UpstreamLoad {

  private static final double NANOS_PER_MILLI = 1e6;

  /** Share of its reading time that the request being read is always expected to take yet. */
  private static final double LEAST_HEAD_SHARE = 0.1;

  final PrefillTimeModel prefillTime = new PrefillTimeModel();
  final PrefixCacheModel cache = new PrefixCacheModel();
  final UpstreamHealth health = new UpstreamHealth();

  Upstream upstream;

  /** Memory of the engine in tokens, if it is published. */
  OptionalLong memoryTokens = OptionalLong.empty();

  /** Whether requests have waited too long without any sign of work. */
  boolean stalled;

  private final Map<RequestId, SlotAllocation> held = new LinkedHashMap<>();

  /** Held requests whose answer has not begun, in the order in which they were granted. */
  private final Map<RequestId, SlotAllocation> unbegun = new LinkedHashMap<>();

  private long answerTokens;
  private long progressNanos;

  UpstreamLoad(Upstream upstream, long nowNanos) {
    this.upstream = upstream;
    this.progressNanos = nowNanos;
  }

  int running() {
    return held.size();
  }

  int freeSlots() {
    return upstream.slots() - held.size();
  }

  /** Returns the tokens that running requests take or are expected to take. */
  long runningTokens() {
    return cache.pinnedTokens() + answerTokens;
  }

  List<SlotAllocation> allocations() {
    return new ArrayList<>(held.values());
  }

  void add(SlotAllocation entry, boolean begun) {
    held.put(entry.call.request(), entry);
    answerTokens += entry.outputTokens();
    entry.call.prompt().ifPresent(cache::pin);
    cache.evict(memoryTokens, answerTokens);
    entry.responseStarted = begun;
    if (!begun) {
      if (unbegun.isEmpty()) {
        progressNanos = Math.max(progressNanos, entry.grantedNanos);
      }
      unbegun.put(entry.call.request(), entry);
    }
  }

  /** Notes that an answer has begun, and learns how long its prompt took to be read. */
  void recordResponseStarted(SlotAllocation entry, long nowNanos) {
    boolean wasHead =
        !unbegun.isEmpty() && unbegun.values().iterator().next() == entry && !entry.responseStarted;
    unbegun.remove(entry.call.request());
    entry.responseStarted = true;
    if (wasHead) {
      long sinceNanos = Math.max(progressNanos, entry.grantedNanos);
      prefillTime.observe(entry.uncachedTokens, (nowNanos - sinceNanos) / NANOS_PER_MILLI);
    }
    recordProgress(nowNanos);
  }

  /** Notes that the upstream gave a sign of work. */
  void recordProgress(long nowNanos) {
    progressNanos = Math.max(progressNanos, nowNanos);
    health.recordProgress();
  }

  /** Releases a slot. */
  void remove(SlotAllocation entry, long nowNanos) {
    if (held.remove(entry.call.request()) == null) {
      return;
    }
    boolean wasHead = !unbegun.isEmpty() && unbegun.values().iterator().next() == entry;
    unbegun.remove(entry.call.request());
    if (wasHead) {
      progressNanos = Math.max(progressNanos, nowNanos);
    }
    answerTokens -= entry.outputTokens();
    entry.call.prompt().ifPresent(prompt -> cache.unpin(prompt, entry.responseStarted));
    cache.evict(memoryTokens, answerTokens);
  }

  /** Returns the expected time until everything granted so far is read, in milliseconds. */
  double backlogMillis(long nowNanos) {
    double millis = 0;
    boolean head = true;
    for (SlotAllocation entry : unbegun.values()) {
      double left = entry.prefillMillis;
      if (head) {
        double spent = (nowNanos - Math.max(progressNanos, entry.grantedNanos)) / NANOS_PER_MILLI;
        left = Math.max(left * LEAST_HEAD_SHARE, left - spent);
        head = false;
      }
      millis += left;
    }
    return millis;
  }

  /** Returns what operators are told. */
  UpstreamStatus status(SlotRule rule, long nowNanos) {
    return new UpstreamStatus(
        upstream.name(),
        upstream.slots(),
        held.size(),
        rule.backlogMillis(this, nowNanos),
        runningTokens(),
        health.failureShare(),
        !upstream.leaving() && !stalled && !health.isEjected(nowNanos));
  }

  /** Returns for how long a request has waited for any sign of work, in milliseconds. */
  double millisSinceProgress(long nowNanos) {
    return unbegun.isEmpty() ? 0 : (nowNanos - progressNanos) / NANOS_PER_MILLI;
  }
}
