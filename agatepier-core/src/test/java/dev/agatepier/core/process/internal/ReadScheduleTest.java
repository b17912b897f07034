package dev.agatepier.core.process.internal;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import dev.agatepier.core.process.VersionPolicy;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class ReadScheduleTest {

  private static final long SECOND = 1_000_000_000;

  private ReadSchedule reads;

  @BeforeMethod
  public void createSchedule() {
    reads = new ReadSchedule(VersionPolicy.DEFAULT);
    assertTrue(reads.due(0, 0));
    reads.begin(0, 0);
  }

  @Test
  public void backsOffAfterFailureUntilAnotherReadSucceeds() {
    reads.recordFailure(1, SECOND);
    assertFalse(reads.due(0, SECOND));
    reads.recordPlatformReachable(SECOND);
    assertTrue(reads.due(0, SECOND));
  }

  @Test
  public void allowsOnlySingleRead() {
    reads.recordPlatformReachable(SECOND);
    assertFalse(reads.due(0, SECOND), "a read is in flight");
    reads.recordSuccess(SECOND);
    reads.recordPlatformReachable(SECOND);
    assertFalse(reads.due(0, SECOND), "no read had failed, so the minimum interval applies");
  }
}
