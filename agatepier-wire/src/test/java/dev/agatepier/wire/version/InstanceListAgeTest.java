package dev.agatepier.wire.version;

import static org.testng.Assert.assertEquals;

import dev.agatepier.core.version.InstanceList;
import dev.agatepier.core.version.ReadTimestamp;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

public class InstanceListAgeTest {

  private long nanos;
  private long wallMillis;
  private final InstanceListAge age = new InstanceListAge(() -> nanos, () -> wallMillis);

  /** A list that a peer sent must not look as if the platform had confirmed it. */
  @Test
  public void countsFromTheStartOfTheReadThatConfirmed() {
    advance(1_000, 1_000);
    age.onInstancesActivated(InstanceList.NONE);
    assertEquals(age.millis(), -1);
    age.onInstancesConfirmed(new ReadTimestamp(nanos, wallMillis));
    advance(1_700, 1_700);
    assertEquals(age.millis(), 1_700);
    age.onInstancesActivated(InstanceList.NONE);
    assertEquals(age.millis(), 1_700);
  }

  /** The monotonic clock of a suspended instance stops, so that a list would look new. */
  @Test
  public void isUnknownAfterSuspension() {
    age.onInstancesConfirmed(new ReadTimestamp(nanos, wallMillis));
    advance(10, 3_400);
    assertEquals(age.millis(), -1);
  }

  private void advance(long monotonicMillis, long wallClockMillis) {
    nanos += TimeUnit.MILLISECONDS.toNanos(monotonicMillis);
    wallMillis += wallClockMillis;
  }
}
