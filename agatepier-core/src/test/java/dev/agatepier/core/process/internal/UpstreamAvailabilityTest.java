package dev.agatepier.core.process.internal;

import static org.testng.Assert.assertEquals;

import dev.agatepier.core.process.UpstreamState;
import dev.agatepier.core.version.Upstream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class UpstreamAvailabilityTest {

  /** Negative, as the monotonic clock of a process may be. */
  private static final long NOW = -5;

  private static final long NONE = UpstreamAvailability.NO_TIME;
  private static final Upstream READY =
      new Upstream("u", 1, "s", "127.0.0.1", 8_000, "a1", 4, false);
  private static final Upstream LEAVING =
      new Upstream("u", 1, "s", "127.0.0.1", 8_000, "a1", 4, true);

  @DataProvider
  public Object[][] conditions() {
    UpstreamAvailability ready = UpstreamAvailability.ofEntry(READY, false);
    UpstreamAvailability evacuated = UpstreamAvailability.ofEntry(READY, true);
    return new Object[][] {
      {ready, UpstreamState.READY},
      {ready.withCold(true, 10), UpstreamState.COLD},
      {ready.withProgress(false, NOW + 1), UpstreamState.EJECTED},
      {ready.withProgress(false, NOW), UpstreamState.READY},
      {ready.withCold(true, 10).withProgress(true, NONE), UpstreamState.STALLED},
      {evacuated.withProgress(true, NOW + 1), UpstreamState.EVACUATED},
      {UpstreamAvailability.ofEntry(LEAVING, true), UpstreamState.LEAVING},
      {UpstreamAvailability.GONE, UpstreamState.GONE}
    };
  }

  /** Guards against a condition that one user of the function counts and another does not. */
  @Test(dataProvider = "conditions")
  public void stateIsThatOfTheLongestLastingCondition(
      UpstreamAvailability availability, UpstreamState expected) {
    assertEquals(availability.state(NOW), expected);
  }
}
