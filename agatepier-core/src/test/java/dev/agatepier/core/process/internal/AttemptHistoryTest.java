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
  public void keepsFirstMark() {
    AttemptHistory marks = new AttemptHistory();
    marks.recordStatus(attempt(1, 1), Status.NEVER_RUN);
    marks.recordStatus(attempt(1, 1), Status.STARTED);
    assertEquals(marks.statusOf(attempt(1, 1)), Status.NEVER_RUN);
    assertEquals(marks.statusOf(attempt(1, 2)), Status.NEW);
  }

  @Test
  public void saysWhatItForgotRatherThanNew() {
    AttemptHistory marks = new AttemptHistory();
    for (long number = 1; number <= 8_193; number++) {
      marks.recordStatus(attempt(1, number), Status.STARTED);
    }
    assertEquals(marks.statusOf(attempt(1, 1)), Status.EVICTED);
    assertEquals(marks.statusOf(attempt(1, 2)), Status.STARTED);
    assertEquals(marks.statusOf(attempt(1, 8_194)), Status.NEW);
  }

  @Test
  public void dropsMarksOfEarlierIncarnation() {
    AttemptHistory marks = new AttemptHistory();
    marks.recordStatus(attempt(1, 1), Status.STARTED);
    marks.onRouterConnected("router-1", 2);
    assertEquals(marks.statusOf(attempt(1, 1)), Status.NEW);
  }
}
