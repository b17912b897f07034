package dev.agatepier.wire.process;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.codahale.metrics.MetricRegistry;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class OverloadMonitorTest {

  private long nowNanos;
  private OverloadMonitor monitor;

  @BeforeMethod
  public void setUp() {
    nowNanos = 1;
    monitor = new OverloadMonitor(() -> nowNanos, new MetricRegistry());
  }

  @Test
  public void burstThatIsAcceptedSoonIsNoOverload() {
    fillQueue(250);
    monitor.onAccepted(true);
    fillQueue(250);
    assertFalse(monitor.acceptsTooLate());
    assertFalse(monitor.overloaded());
  }

  @Test
  public void queueThatDoesNotBecomeEmptyIsOverload() {
    fillQueue(500);
    assertTrue(monitor.acceptsTooLate());
    assertTrue(monitor.overloaded());
    monitor.onAccepted(true);
    assertFalse(monitor.acceptsTooLate(), "connections that follow have not waited");
    assertTrue(monitor.overloaded(), "held, so that the load balancer notices");
    runTimers(2_800);
    assertTrue(monitor.overloaded());
    runTimers(400);
    assertFalse(monitor.overloaded());
  }

  @Test
  public void recurringOverloadLastsLonger() {
    int previous = 0;
    for (int round = 0; round < 4; round++) {
      fillQueue(500);
      monitor.onAccepted(true);
      int timers = 0;
      while (monitor.overloaded()) {
        runTimers(100);
        timers++;
      }
      assertTrue(timers > previous, timers + " after " + previous);
      previous = timers;
    }
    assertTrue(previous <= 241, "bounded: " + previous);
    runTimers(11_000);
    fillQueue(500);
    monitor.onAccepted(true);
    runTimers(3_200);
    assertFalse(monitor.overloaded(), "starts anew after a calm time");
  }

  @Test
  public void eventLoopThatStaysLateIsOverload() {
    for (int timer = 0; timer < 4; timer++) {
      passTimer(400);
    }
    assertTrue(monitor.overloaded());
  }

  @Test
  public void pauseOfTheProcessIsNoOverload() {
    passTimer(5_000);
    runTimers(1_500);
    passTimer(5_000);
    assertFalse(monitor.overloaded());
  }

  private void fillQueue(long millis) {
    monitor.onAccepted(false);
    advance(millis);
    monitor.onAccepted(false);
  }

  private void runTimers(long millis) {
    for (long passed = 0; passed < millis; passed += OverloadMonitor.TIMER_MILLIS) {
      passTimer(0);
    }
  }

  private void passTimer(long delayMillis) {
    advance(OverloadMonitor.TIMER_MILLIS + delayMillis);
    monitor.onTimer();
  }

  private void advance(long millis) {
    nowNanos += TimeUnit.MILLISECONDS.toNanos(millis);
  }
}
