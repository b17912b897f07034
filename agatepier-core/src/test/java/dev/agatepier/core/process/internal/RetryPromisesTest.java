package dev.agatepier.core.process.internal;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import dev.agatepier.core.connection.SlotMessage.WaitingCall;
import dev.agatepier.core.process.CallerReturn;
import dev.agatepier.core.request.PromptMetadata;
import dev.agatepier.core.request.PromptPart;
import dev.agatepier.core.request.RequestId;
import java.util.List;
import java.util.Optional;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class RetryPromisesTest {

  private static final long MILLI = 1_000_000;
  private static final long TIME_LEFT_MILLIS = 15_000;
  private static final double WORK_MILLIS = 100;

  /** Work that is granted in a millisecond, in milliseconds of one upstream. */
  private static final int RATE = 4;

  private long now;
  private long lastNumber;
  private RetryPromises promises;

  @BeforeMethod
  public void setUp() {
    now = 0;
    GrantRate rate = new GrantRate();
    for (; now < 10_000 * MILLI; now += MILLI) {
      rate.recordGranted(RATE, now);
    }
    promises = new RetryPromises(1_000, rate);
  }

  /** Callers that come back faster than capacity becomes free are rejected again. */
  @Test
  public void promisesOneAfterTheOtherAtTheRateOfGrants() {
    long first = promises.reject(entry("a", TIME_LEFT_MILLIS), 1_000, now);
    long previous = first;
    for (String name : List.of("b", "c", "d", "e")) {
      long next = promises.reject(entry(name, TIME_LEFT_MILLIS), 1_000, now);
      assertTrue(next > previous, next + " after " + previous);
      previous = next;
    }
    assertEquals(previous - first, 4 * WORK_MILLIS / RATE, 2);
  }

  /** A promise that can't be kept within the objective makes its caller come back for nothing. */
  @Test
  public void promisesNothingBeyondTheObjective() {
    long retryMillis = 0;
    for (int caller = 0; retryMillis < 1_000 && caller < 1_000; caller++) {
      retryMillis = promises.reject(entry("c" + caller, TIME_LEFT_MILLIS), 1_000, now);
    }
    double reservedMillis = promises.reservedMillis(Long.MAX_VALUE, now);
    promises.reject(entry("next", TIME_LEFT_MILLIS), 1_000, now);
    assertEquals(promises.reservedMillis(Long.MAX_VALUE, now), reservedMillis);
    assertTrue(reservedMillis <= 1.5 * 850, "reserved " + reservedMillis);
  }

  /** Callers that come back together after a shortage start the next one. */
  @Test
  public void callersWithoutPromiseComeBackOneAfterTheOther() {
    long first = promises.reject(entry("a", TIME_LEFT_MILLIS), 0, now);
    long second = promises.reject(entry("b", TIME_LEFT_MILLIS), 0, now);
    assertEquals(second - first, WORK_MILLIS / RATE, 2);
  }

  /** A longer retry time than callers honour says nothing to them. */
  @Test
  public void advisesNoMoreThanCallersHonour() {
    long first = promises.reject(entry("a", 1_500), 0, now);
    long second = promises.reject(entry("b", 1_500), 0, now);
    assertTrue(Math.max(first, second) <= 500 && Math.min(first, second) >= 375);
    assertTrue(first != second, "they must not come back together");
  }

  /** Plain requests of a workspace are alike: a new one must not be taken for an early return. */
  @Test
  public void recognisesNoRequestsWithoutPrompt() {
    WaitingCall plain =
        new WaitingCall(
            new RequestId("r", 1, ++lastNumber),
            "w",
            "",
            1_000,
            15_000,
            true,
            false,
            Optional.empty());
    promises.reject(new WaitingEntry("r", plain, 1, ++lastNumber, true, 0, now), 1_000, now);
    assertTrue(promises.findRejection(plain, now).isEmpty());
    assertEquals(promises.reservedMillis(Long.MAX_VALUE, now), 0.0, "promised to nobody");
  }

  @Test
  public void recognisesCallersByWhatTheySendAgain() {
    long retryMillis = promises.reject(entry("a", TIME_LEFT_MILLIS), 1_000, now);
    now += 40 * MILLI;
    assertEquals(returnOf("a", TIME_LEFT_MILLIS - 40), CallerReturn.EARLY);
    assertEquals(returnOf("a", TIME_LEFT_MILLIS + 400), CallerReturn.NONE, "another caller");
    assertEquals(returnOf("b", TIME_LEFT_MILLIS - 40), CallerReturn.NONE, "another prompt");
    now += (retryMillis - 40) * MILLI;
    assertEquals(returnOf("a", TIME_LEFT_MILLIS - retryMillis), CallerReturn.KEPT);
  }

  private CallerReturn returnOf(String name, long timeLeftMillis) {
    return promises
        .findRejection(call(name, timeLeftMillis), now)
        .map(rejection -> RetryPromises.judge(rejection, now))
        .orElse(CallerReturn.NONE);
  }

  private WaitingEntry entry(String name, long timeLeftMillis) {
    WaitingEntry entry =
        new WaitingEntry("r", call(name, timeLeftMillis), 1, ++lastNumber, true, 0, now);
    entry.workMillis = WORK_MILLIS;
    return entry;
  }

  private WaitingCall call(String name, long timeLeftMillis) {
    PromptMetadata prompt = new PromptMetadata("m", 100, 10, List.of(new PromptPart(name, 100)));
    RequestId request = new RequestId("r", 1, ++lastNumber);
    return new WaitingCall(
        request, "w", "", 1_000, timeLeftMillis, true, false, Optional.of(prompt));
  }
}
