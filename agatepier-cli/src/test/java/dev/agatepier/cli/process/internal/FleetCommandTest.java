package dev.agatepier.cli.process.internal;

import static org.testng.Assert.assertEquals;

import dev.agatepier.cli.process.ExitCode;
import dev.agatepier.cli.process.FakeReporter;
import dev.agatepier.core.version.Limits;
import dev.agatepier.wire.process.ProcessStatus;
import dev.agatepier.wire.process.WorkspacesStatus;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import net.sourceforge.argparse4j.inf.Namespace;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class FleetCommandTest {

  private FakeFleetClient fleet;
  private FakeReporter reporter;
  private long nowNanos;

  @BeforeMethod
  public void createFleet() {
    fleet = new FakeFleetClient();
    reporter = new FakeReporter();
    nowNanos = 0;
  }

  @Test
  public void watchEndsWhenEveryProcessRunsTheVersion() {
    setTableVersion("kolkata-a/r1", 8);
    setTableVersion("durgapur-a/r2", 7);
    fleet.responses.put("durgapur-a/r3", null);
    Queue<Runnable> steps = new ArrayDeque<>();
    steps.add(() -> setTableVersion("durgapur-a/r2", 8));
    steps.add(() -> setTableVersion("durgapur-a/r3", 8));
    assertEquals(watch(steps, 30), ExitCode.OK);
    assertEquals(
        String.join("\n", reporter.lines),
        """
        after 0.0 s
          durgapur-a         version 8 at 0 of 2; lagging: durgapur-a/r2, durgapur-a/r3
          kolkata-a          version 8 at 1 of 1
        after 0.3 s
          durgapur-a         version 8 at 1 of 2; lagging: durgapur-a/r3
          kolkata-a          version 8 at 1 of 1
        after 0.5 s
          durgapur-a         version 8 at 2 of 2
          kolkata-a          version 8 at 1 of 1\
        """);
  }

  @Test
  public void watchFailsAfterTheTimeout() {
    setTableVersion("kolkata-a/r1", 8);
    setTableVersion("kolkata-a/r2", 7);
    assertEquals(watch(new ArrayDeque<>(), 2), ExitCode.TIMEOUT);
    assertEquals(nowNanos, TimeUnit.SECONDS.toNanos(2));
  }

  @Test
  public void workspacesShowSumsAndShares() {
    fleet.responses.put("a/s1", usage("strings", 2, 30));
    fleet.responses.put("a/s2", usage("brass", 1, 10));
    fleet.responses.put("a/s3", usage("strings", 3, 0));
    assertEquals(
        new WorkspacesCommand(arguments -> fleet).run(arguments(0), reporter), ExitCode.OK);
    assertEquals(
        String.join("\n", reporter.lines),
        """
        desk
        workspace  weight  share  waiting  running  done  not  p50  p95  p99 ms
        brass      4.0     25 %   1/200    1/50     7     2    5    9    12
        strings    4.0     75 %   5/200    2/50     14    4    5    9    12\
        """);
  }

  private ExitCode watch(Queue<Runnable> steps, int timeoutSeconds) {
    Pause pause =
        millis -> {
          nowNanos += TimeUnit.MILLISECONDS.toNanos(millis);
          if (!steps.isEmpty()) {
            steps.remove().run();
          }
        };
    return new WatchCommand(arguments -> fleet, () -> nowNanos, pause)
        .run(arguments(timeoutSeconds), reporter);
  }

  private static Namespace arguments(int timeoutSeconds) {
    return new Namespace(Map.of("timeout", timeoutSeconds));
  }

  private void setTableVersion(String name, long version) {
    String dataCentre = name.substring(0, name.indexOf('/'));
    fleet.responses.put(
        name,
        new ProcessStatus(
            name, "router", dataCentre, "bengal", "", "1", version, 1, false, List.of(), "none"));
  }

  private static WorkspacesStatus usage(String workspace, int waiting, double cost) {
    return new WorkspacesStatus(
        List.of(
            new WorkspacesStatus.WorkspaceStatus(
                workspace,
                "desk",
                4,
                new Limits(200, 50, 0),
                waiting,
                1,
                cost,
                7,
                new TreeMap<>(Map.of("limit-waiting", 2L)),
                new WorkspacesStatus.Percentiles(10, 5, 9, 12))));
  }
}
