package dev.agatepier.cli.process.internal;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import dev.agatepier.cli.process.SettingsException;
import dev.agatepier.cli.process.SettingsMistake;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

public class SettingsChangeDetectorTest {

  /** Settings with a nested record. */
  public record Outer(String name, Inner inner) {}

  /** The nested record. */
  public record Inner(int port, long waitMillis) {}

  private Outer file = new Outer("a", new Inner(1, 100));
  private final SettingsChangeDetector<Outer> detector =
      new SettingsChangeDetector<>(() -> file, file);

  @Test
  public void returnsThePathsOfChangedSettings() {
    assertEquals(detector.changedPaths(), List.of());
    file = new Outer("b", new Inner(1, 200));
    assertEquals(detector.changedPaths(), List.of("name", "inner.waitMillis"));
    file = new Outer("a", null);
    assertEquals(detector.changedPaths(), List.of("inner"));
  }

  @Test
  public void logsMistakesWithoutThrowing() {
    new SettingsChangeDetector<Outer>(
            () -> {
              throw new SettingsException(List.of(new SettingsMistake("inner.port", "is missing")));
            },
            file)
        .checkForChanges();
  }

  @Test
  public void hangupSignalRunsTheHandlerAndKeepsTheProcessAlive()
      throws InterruptedException, IOException {
    CountDownLatch signalled = new CountDownLatch(1);
    SignalHandlers.handle("HUP", signalled::countDown);
    String self = Long.toString(ProcessHandle.current().pid());
    assertEquals(new ProcessBuilder("kill", "-HUP", self).start().waitFor(), 0);
    assertTrue(signalled.await(5, TimeUnit.SECONDS));
  }
}
