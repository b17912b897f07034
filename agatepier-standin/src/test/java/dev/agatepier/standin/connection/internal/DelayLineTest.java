package dev.agatepier.standin.connection.internal;

import static org.testng.Assert.assertEquals;

import dev.agatepier.standin.connection.DirectionFaults;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class DelayLineTest {

  private static final long MILLISECOND = 1_000_000;
  private static final long SEED = 7;

  @DataProvider
  public Object[][] delays() {
    return new Object[][] {
      {new DirectionFaults(0, 0, 0, false, false), 0, 0},
      {new DirectionFaults(30, 0, 0, false, false), 30, 30},
      {new DirectionFaults(0, 0, 1_000, false, false), 100, 200},
      {new DirectionFaults(30, 0, 1_000, false, false), 130, 230},
    };
  }

  @Test(dataProvider = "delays")
  public void itemsAreDueAfterDelayAndTransferTime(
      DirectionFaults faults, long first, long second) {
    DelayLine<String> line = line(faults);
    line.add("a", 100, 0);
    line.add("b", 100, 0);
    assertEquals(line.nanosUntilDue(0), OptionalLong.of(first * MILLISECOND));
    assertEquals(line.poll(first * MILLISECOND), Optional.of("a"));
    assertEquals(
        line.nanosUntilDue(first * MILLISECOND), OptionalLong.of((second - first) * MILLISECOND));
    assertEquals(line.poll(second * MILLISECOND), Optional.of("b"));
  }

  @Test
  public void jitterKeepsTheOrder() {
    DelayLine<Integer> line = line(new DirectionFaults(5, 50, 0, false, false));
    for (int item = 0; item < 100; item++) {
      line.add(item, 1, item * MILLISECOND);
    }
    for (int item = 0; item < 100; item++) {
      assertEquals(line.poll(1_000 * MILLISECOND), Optional.of(item), "seed " + SEED);
    }
  }

  @Test
  public void freezeHoldsDueItems() {
    DelayLine<String> line = line(new DirectionFaults(0, 0, 0, false, true));
    line.add("a", 1, 0);
    assertEquals(line.poll(MILLISECOND), Optional.empty());
    assertEquals(line.nanosUntilDue(MILLISECOND), OptionalLong.empty());
    line.updateFaults(DirectionFaults.NONE);
    assertEquals(line.poll(MILLISECOND), Optional.of("a"));
  }

  private static <T> DelayLine<T> line(DirectionFaults faults) {
    return new DelayLine<>(faults, new SplittableRandom(SEED), 0);
  }
}
