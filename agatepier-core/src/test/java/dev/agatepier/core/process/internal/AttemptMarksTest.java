package dev.agatepier.core.process.internal;

import static org.testng.Assert.assertEquals;

import dev.agatepier.core.process.internal.AttemptMarks.Mark;
import dev.agatepier.core.request.AttemptId;
import dev.agatepier.core.request.RequestId;
import org.testng.annotations.Test;

public class AttemptMarksTest {
  private static AttemptId attempt(long incarnation, long number) {
    return new AttemptId(new RequestId("router-1", incarnation, number), 1);
  }

  @Test
  public void keepsFirstMark() {
    AttemptMarks marks = new AttemptMarks();
    marks.mark(attempt(1, 1), Mark.NEVER_RUN);
    marks.mark(attempt(1, 1), Mark.STARTED);
    assertEquals(marks.markOf(attempt(1, 1)), Mark.NEVER_RUN);
    assertEquals(marks.markOf(attempt(1, 2)), Mark.NEW);
  }

  @Test
  public void saysWhatItForgotRatherThanNew() {
    AttemptMarks marks = new AttemptMarks();
    for (long number = 1; number <= 65_537; number++) {
      marks.mark(attempt(1, number), Mark.STARTED);
    }
    assertEquals(marks.markOf(attempt(1, 1)), Mark.FORGOTTEN);
    assertEquals(marks.markOf(attempt(1, 2)), Mark.STARTED);
    assertEquals(marks.markOf(attempt(1, 65_538)), Mark.NEW);
  }

  @Test
  public void dropsMarksOfEarlierIncarnation() {
    AttemptMarks marks = new AttemptMarks();
    marks.mark(attempt(1, 1), Mark.STARTED);
    marks.linked("router-1", 2);
    assertEquals(marks.markOf(attempt(1, 1)), Mark.NEW);
  }
}
