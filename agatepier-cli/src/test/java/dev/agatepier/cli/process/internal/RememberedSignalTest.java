package dev.agatepier.cli.process.internal;

import static org.testng.Assert.assertEquals;

import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.Test;

public class RememberedSignalTest {

  private final RememberedSignal signal = new RememberedSignal();
  private final AtomicInteger handled = new AtomicInteger();

  /** Guards against signals lost before the settings are read, and against handling them twice. */
  @Test
  public void earlySignalsAreHandledOnceAndLaterOnesEachTime() {
    signal.run();
    signal.run();
    signal.handleWith(handled::incrementAndGet);
    assertEquals(handled.get(), 1);
    signal.run();
    assertEquals(handled.get(), 2);
    signal.handleWith(handled::incrementAndGet);
    assertEquals(handled.get(), 2);
  }
}
