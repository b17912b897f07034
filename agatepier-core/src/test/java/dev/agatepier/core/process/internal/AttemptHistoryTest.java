package dev.agatepier.core.process.internal;

import static org.testng.Assert.assertEquals;

import dev.agatepier.core.process.internal.AttemptHistory.Status;
import dev.agatepier.core.request.AttemptId;
import dev.agatepier.core.request.RequestId;
import org.testng.annotations.Test;

public class AttemptHistoryTest {
  private static AttemptId attempt(long incarnation, long number) {
    return new AttemptId(new RequestId("router-1", incarnation, number), 1);
  }

  @Test
  public void keepsTheFirstStatus() {
    AttemptHistory history = new AttemptHistory();
    history.recordStatus(attempt(1, 1), Status.NEVER_RUN);
    history.recordStatus(attempt(1, 1), Status.STARTED);
    assertEquals(history.statusOf(attempt(1, 1)), Status.NEVER_RUN);
    assertEquals(history.statusOf(attempt(1, 2)), Status.NEW);
  }

  @Test
  public void reportsEvictedAttemptsAsEvictedRatherThanNew() {
    AttemptHistory history = new AttemptHistory();
    for (long number = 1; number <= 8_193; number++) {
      history.recordStatus(attempt(1, number), Status.STARTED);
    }
    assertEquals(history.statusOf(attempt(1, 1)), Status.EVICTED);
    assertEquals(history.statusOf(attempt(1, 2)), Status.STARTED);
    assertEquals(history.statusOf(attempt(1, 8_194)), Status.NEW);
  }

  @Test
  public void dropsAttemptsOfEarlierIncarnation() {
    AttemptHistory history = new AttemptHistory();
    history.recordStatus(attempt(1, 1), Status.STARTED);
    history.onRouterConnected("router-1", 2);
    assertEquals(history.statusOf(attempt(1, 1)), Status.NEW);
  }
}
