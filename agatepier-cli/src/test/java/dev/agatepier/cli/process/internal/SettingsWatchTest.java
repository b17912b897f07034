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

public class SettingsWatchTest {

  /** Settings of a program. */
  public record Outer(String name, Inner inner) {}

  /** Settings within. */
  public record Inner(int port, long waitMillis) {}

  private Outer file = new Outer("a", new Inner(1, 100));
  private final SettingsWatch<Outer> watch = new SettingsWatch<>(() -> file, file);

  @Test
  public void namesWhatDiffersByItsPath() {
    assertEquals(watch.changed(), List.of());
    file = new Outer("b", new Inner(1, 200));
    assertEquals(watch.changed(), List.of("name", "inner.waitMillis"));
    file = new Outer("a", null);
    assertEquals(watch.changed(), List.of("inner"));
  }

  @Test
  public void survivesSettingsWithMistakes() {
    new SettingsWatch<Outer>(
            () -> {
              throw new SettingsException(List.of(new SettingsMistake("inner.port", "is missing")));
            },
            file)
        .read();
  }

  @Test
  public void goesOnAfterTheSignal() throws InterruptedException, IOException {
    CountDownLatch told = new CountDownLatch(1);
    HangUp.handle(told::countDown);
    String self = Long.toString(ProcessHandle.current().pid());
    assertEquals(new ProcessBuilder("kill", "-HUP", self).start().waitFor(), 0);
    assertTrue(told.await(5, TimeUnit.SECONDS));
  }
}
