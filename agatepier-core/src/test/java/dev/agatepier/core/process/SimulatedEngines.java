package dev.agatepier.core.process;

import dev.agatepier.core.request.AttemptId;
import dev.agatepier.core.request.Bytes;
import dev.agatepier.core.request.ResponseHead;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * Model engines that a router calls, in virtual time. Each prefills one prompt after the other in
 * the order of arrival and decodes each response in a fixed time.
 */
final class SimulatedEngines {

  static final int STEP_MILLIS = 5;

  private static final int DECODE_STEPS = 300;
  private static final Bytes FIRST_EVENT = Bytes.ofText("1;");

  private final AllocatingRouter router;
  private final double tokensPerMilli;
  private final Map<String, Deque<Prefill>> prefills = new HashMap<>();
  private final List<Decode> decodes = new ArrayList<>();
  private long steps;

  /** A prompt that waits for its prefill or is in it. */
  private static final class Prefill {
    private final AttemptId attempt;
    private double remainingMillis;

    private Prefill(AttemptId attempt, double remainingMillis) {
      this.attempt = attempt;
      this.remainingMillis = remainingMillis;
    }
  }

  /** A response that is being decoded. */
  private record Decode(AttemptId attempt, long endStep) {}

  /**
   * Creates engines without requests.
   *
   * @param router the router that calls them
   * @param tokensPerMilli prompt tokens that an engine prefills in a millisecond
   */
  SimulatedEngines(AllocatingRouter router, double tokensPerMilli) {
    this.router = router;
    this.tokensPerMilli = tokensPerMilli;
  }

  /** Queues an attempt whose prompt has the given uncached tokens. */
  void start(RouterEffect.RunAttempt run, int tokens) {
    prefills
        .computeIfAbsent(run.upstream().name(), name -> new ArrayDeque<>())
        .add(new Prefill(run.attempt(), tokens / tokensPerMilli));
  }

  /** Lets one step pass. */
  void advance() {
    steps++;
    router.advance(STEP_MILLIS);
    prefills.values().forEach(this::prefill);
    Iterator<Decode> remaining = decodes.iterator();
    while (remaining.hasNext()) {
      Decode decode = remaining.next();
      if (decode.endStep <= steps) {
        remaining.remove();
        router.dispatch(new RouterEvent.UpstreamResponseCompleted(decode.attempt));
      }
    }
  }

  private void prefill(Deque<Prefill> queue) {
    double leftMillis = STEP_MILLIS;
    while (leftMillis > 0 && !queue.isEmpty()) {
      Prefill head = queue.peek();
      double usedMillis = Math.min(leftMillis, head.remainingMillis);
      head.remainingMillis -= usedMillis;
      leftMillis -= usedMillis;
      if (head.remainingMillis <= 0) {
        queue.remove();
        decodes.add(new Decode(head.attempt, steps + DECODE_STEPS));
        router.dispatch(
            new RouterEvent.UpstreamResponseStarted(
                head.attempt, new ResponseHead(200, List.of()), true));
        router.dispatch(new RouterEvent.UpstreamResponseData(head.attempt, FIRST_EVENT, 1, 1, 1));
      }
    }
  }
}
