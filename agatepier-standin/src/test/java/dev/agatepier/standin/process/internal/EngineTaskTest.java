package dev.agatepier.standin.process.internal;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import dev.agatepier.standin.request.ModelCall;
import dev.agatepier.standin.request.RunRecord;
import dev.agatepier.standin.request.internal.EngineStream;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class EngineTaskTest {

  private static final EngineSettings SETTINGS = new EngineSettings(2, 1, 10, 1_000, 8, 500);
  private static final long SEED = 1;

  private record ScheduledMessage(long dueNanos, EngineMessage message) {}

  private final Deque<ScheduledMessage> scheduledSteps = new ArrayDeque<>();
  private final List<RunRecord> records = new ArrayList<>();
  private long now;
  private EngineTask engine;

  @BeforeMethod
  public void create() {
    now = 0;
    scheduledSteps.clear();
    records.clear();
    engine = new EngineTask(SETTINGS, SEED, () -> now, this::schedule, records::add);
  }

  @DataProvider
  public Object[][] stepTimes() {
    return new Object[][] {{1, 10}, {4, 10}, {8, 20}, {16, 40}};
  }

  @Test(dataProvider = "stepTimes")
  public void stepTimeIsConstantUpToBestBatchThenGrows(int running, long millis) {
    EngineStepTime stepTime = EngineStepTime.of(new EngineSettings(16, 4, 10, 1, 0, 500));
    assertEquals(stepTime.stepNanos(running), millis * 1_000_000);
  }

  @Test
  public void streamedResponseEqualsRecomputedBody() {
    EngineStream stream = submit(3);
    StringBuilder response = new StringBuilder();
    stream.events().subscribe(response::append);
    runSteps(10);
    assertEquals(response.toString(), stream.call().streamedResponseBody());
    assertEquals(records.getLast().state(), RunRecord.State.WHOLE);
  }

  @Test
  public void batchLimitsRunningStreamsAndCancelAdmitsTheNext() {
    EngineStream first = submit(1_000);
    submit(1_000);
    EngineStream third = submit(1);
    first.events().subscribe();
    runSteps(5);
    assertTrue(records.isEmpty());
    third.events().subscribe();
    engine.handle(new EngineMessage.Cancel(first));
    runSteps(5);
    assertEquals(
        records.stream().map(RunRecord::state).toList(),
        List.of(RunRecord.State.CUT, RunRecord.State.WHOLE));
  }

  @Test
  public void cachedPrefixIsNotPrefilledAgain() {
    PrefixCache cache = new PrefixCache(2);
    List<String> prompt = java.util.Collections.nCopies(2 * PrefixCache.BLOCK_TOKENS + 5, "word");
    assertEquals(cache.insert(prompt), 0);
    assertEquals(cache.insert(prompt), 2 * PrefixCache.BLOCK_TOKENS);
    cache.insert(java.util.Collections.nCopies(3 * PrefixCache.BLOCK_TOKENS, "other"));
    assertEquals(cache.insert(prompt), 0);
  }

  private EngineStream submit(int tokens) {
    byte[] body = ("{\"prompt\":\"a b\",\"stream\":true,\"max_tokens\":" + tokens + "}").getBytes();
    RunRecord record = new RunRecord(1, 1, "", "", "POST", "/", "", 0, RunRecord.State.RUNNING);
    EngineStream stream = new EngineStream(record, ModelCall.parse(body));
    engine.handle(new EngineMessage.Submit(stream));
    return stream;
  }

  private void schedule(long delayNanos, EngineMessage message) {
    if (message instanceof EngineMessage.Step) {
      scheduledSteps.add(new ScheduledMessage(now + delayNanos, message));
    }
  }

  private void runSteps(int count) {
    for (int step = 0; step < count && !scheduledSteps.isEmpty(); step++) {
      ScheduledMessage next = scheduledSteps.poll();
      now = next.dueNanos();
      engine.handle(next.message());
    }
  }
}
