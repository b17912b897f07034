package dev.agatepier.standin.process.internal;

import dev.agatepier.standin.process.DemoFleet;
import dev.agatepier.standin.process.ProcessFleet;
import dev.agatepier.standin.process.ServiceCaller;
import dev.agatepier.standin.request.CallOutcome;
import dev.agatepier.standin.request.CallResult;
import dev.agatepier.standin.request.ServiceCall;
import dev.agatepier.standin.version.TrialWorkspace;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.stream.Collectors;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/**
 * The {@code demo} program: starts a whole fleet on this machine and sends sample calls through it.
 */
public final class DemoProgram implements StandinProgram {

  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(60);
  private static final int ROUNDS = 4;
  private static final List<String> SERVICES =
      List.of(DemoFleet.MODEL_SERVICE, DemoFleet.PLAIN_SERVICE);
  private static final List<TrialWorkspace> WORKSPACES =
      List.of(
          new TrialWorkspace("kolkata-strings", 4, 200, 50, SERVICES),
          new TrialWorkspace("siliguri-festival", 2, 200, 50, SERVICES),
          new TrialWorkspace("durgapur-winds", 1, 200, 50, SERVICES),
          new TrialWorkspace("bengal-quartet", 1, 200, 50, SERVICES));

  private final PrintStream out = System.out;

  @Override
  public String name() {
    return "demo";
  }

  @Override
  public void addArguments(Subparser parser) {
    parser
        .addArgument("--once")
        .action(Arguments.storeTrue())
        .help("exit after the sample calls, with status 0 if every call completed");
    parser
        .addArgument("--folder")
        .metavar("DIRECTORY")
        .help("directory for settings and output; a temporary one by default");
  }

  @Override
  public int run(Namespace options) {
    ProcessFleet processes = new ProcessFleet(folder(options));
    DemoFleet fleet = new DemoFleet(processes, WORKSPACES);
    boolean once = options.getBoolean("once");
    try {
      out.println(
          "Starting "
              + (1 + 2 * fleet.sidecars().size() + fleet.routers().size())
              + " processes on loopback addresses ...");
      processes.start().join();
      fleet.start().join();
      List<CallResult> results = sample(processes, fleet);
      out.print(DemoReport.table(WORKSPACES, results));
      if (!once) {
        out.print(DemoReport.instructions(processes, fleet));
        new CompletableFuture<Void>().join();
      }
      return exitStatus(results);
    } finally {
      processes.stop().join();
    }
  }

  private List<CallResult> sample(ProcessFleet processes, DemoFleet fleet) {
    ServiceCaller caller = new ServiceCaller(processes.caller(), CALL_TIMEOUT);
    List<CompletableFuture<CallResult>> calls = new ArrayList<>();
    for (int round = 0; round < ROUNDS; round++) {
      for (TrialWorkspace workspace : WORKSPACES) {
        for (ServiceCall call : calls(workspace, round)) {
          int router = calls.size() % fleet.routers().size();
          calls.add(caller.call(fleet.routers().get(router).front(), workspace, call));
        }
      }
    }
    return calls.stream().map(CompletableFuture::join).toList();
  }

  private static List<ServiceCall> calls(TrialWorkspace workspace, int round) {
    String topic = workspace.name() + " draft " + round;
    return List.of(
        ServiceCall.model(DemoFleet.MODEL_SERVICE, "full plan of " + topic, 60, 48, true),
        ServiceCall.model(DemoFleet.MODEL_SERVICE, "swap in " + topic, 12, 12, false),
        ServiceCall.read(DemoFleet.PLAIN_SERVICE, "/desks/" + round),
        ServiceCall.order(
            DemoFleet.PLAIN_SERVICE, "/confirmations", workspace.name() + "-" + round));
  }

  private int exitStatus(List<CallResult> results) {
    Map<String, Long> failures =
        results.stream()
            .filter(result -> result.outcome() != CallOutcome.COMPLETED)
            .collect(
                Collectors.groupingBy(
                    result -> result.outcome() + " " + result.reason(), Collectors.counting()));
    failures.forEach(
        (failure, count) -> System.err.println("demo: " + count + " calls: " + failure));
    return failures.isEmpty() ? 0 : 1;
  }

  private static Path folder(Namespace options) {
    try {
      String chosen = options.getString("folder");
      return chosen == null ? Files.createTempDirectory("agatepier-demo") : Path.of(chosen);
    } catch (IOException failure) {
      throw new CompletionException("cannot create a temporary directory", failure);
    }
  }
}
