package dev.agatepier.core.process.internal;

import static org.testng.Assert.assertEquals;

import dev.agatepier.core.process.RouterFixture;
import dev.agatepier.core.process.RouterPolicy;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class WorkspaceQueuesTest {

  private static final long SECOND = 1_000_000_000;

  @DataProvider
  public Object[][] idleTimes() {
    return new Object[][] {
      // seconds idle, requests waiting, requests running, whether the queue is kept
      {59, 0, 0, true}, {60, 0, 0, false}, {60, 1, 0, true}, {60, 0, 1, true},
    };
  }

  @Test(dataProvider = "idleTimes")
  public void dropsQueuesAfterTheIdleTime(int seconds, int waiting, int running, boolean kept) {
    RouterState state = new RouterState(RouterFixture.router("r1"), RouterPolicy.DEFAULT);
    WaitingQueue queue = state.queues.findOrAdd("chair-desk", "w", 0);
    queue.use.waiting = waiting;
    queue.use.running = running;
    state.expire(seconds * SECOND);
    assertEquals(state.queues.find("chair-desk", "w") == queue, kept);
    assertEquals(state.queues.use("w") == queue.use, kept);
  }
}
