package dev.agatepier.core.process;

import dev.agatepier.core.request.AttemptId;
import dev.agatepier.core.request.Bytes;
import dev.agatepier.core.request.Reason;
import dev.agatepier.core.request.ResponseHead;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A simulated upstream that records every request that reaches it before it runs the request. It
 * may fail before or after that, and crashes on a body that starts with {@link #CRASH}.
 */
final class VirtualUpstream {

  static final String CRASH = "crash";
  private static final int CRASH_MILLIS = 60;
  private static final int DETECTION_MILLIS = 5;

  private final SimulatedFleet fleet;
  private final VirtualSidecar sidecar;
  private final Map<AttemptId, Run> runs = new LinkedHashMap<>();

  private static final class Run {
    final List<String> parts = new ArrayList<>();
    boolean reached;
    int failingStep;
  }

  VirtualUpstream(SimulatedFleet fleet, VirtualSidecar sidecar) {
    this.fleet = fleet;
    this.sidecar = sidecar;
  }

  void onSidecarRestart() {
    runs.clear();
  }

  void execute(SidecarEffect effect) {
    switch (effect) {
      case SidecarEffect.StartUpstream start -> start(start);
      case SidecarEffect.CancelUpstream cancel ->
          sidecar.schedule(
              1 + fleet.time.draw(20), () -> failRun(cancel.attempt(), Reason.WITHDRAWN));
      default -> {}
    }
  }

  /**
   * Fails some of the running attempts, lets the sidecar detect the crash, and then becomes healthy
   * again.
   */
  void crash() {
    for (AttemptId attempt : List.copyOf(runs.keySet())) {
      if (fleet.time.chance(0.5)) {
        failRun(attempt, Reason.UPSTREAM_FAILED);
      }
    }
    List<AttemptId> rest = List.copyOf(runs.keySet());
    sidecar.schedule(
        1 + fleet.time.draw(DETECTION_MILLIS),
        () -> {
          rest.forEach(runs::remove);
          sidecar.dispatch(new SidecarEvent.UpstreamHealthChanged(false, true));
        });
    sidecar.schedule(
        100 + fleet.time.draw(400),
        () -> sidecar.dispatch(new SidecarEvent.UpstreamHealthChanged(true, false)));
  }

  private void start(SidecarEffect.StartUpstream start) {
    AttemptId id = start.attempt();
    Run run = new Run();
    for (int part = fleet.time.draw(4); part > 0; part--) {
      run.parts.add(sidecar.name + "/" + fleet.time.draw(1_000_000) + ";");
    }
    int steps = run.parts.size() + 2;
    run.failingStep = fleet.faulty && fleet.time.chance(0.1) ? fleet.time.draw(steps) : steps;
    runs.put(id, run);
    sidecar.schedule(1 + fleet.time.draw(10), () -> receive(start, run));
  }

  private void receive(SidecarEffect.StartUpstream start, Run run) {
    AttemptId id = start.attempt();
    if (runs.get(id) != run) {
      return;
    }
    if (fleet.faulty && fleet.time.chance(0.05)) {
      failRun(id, Reason.UPSTREAM_FAILED);
      return;
    }
    run.reached = true;
    fleet.recordRun(id, String.join("", run.parts));
    if (start.body().text().startsWith(CRASH)) {
      sidecar.schedule(CRASH_MILLIS + fleet.time.draw(40), () -> crashDuring(id));
    } else {
      runStep(id, run, 0);
    }
  }

  private void crashDuring(AttemptId id) {
    if (runs.containsKey(id)) {
      fleet.crashes++;
      crash();
    }
  }

  /** Sends the head, each part and the end of the response, one per step, until the run fails. */
  private void runStep(AttemptId id, Run run, int step) {
    sidecar.schedule(
        5 + fleet.time.draw(60),
        () -> {
          if (runs.get(id) != run) {
            return;
          }
          if (step == run.failingStep) {
            failRun(id, Reason.UPSTREAM_FAILED);
          } else if (step > run.parts.size()) {
            runs.remove(id);
            sidecar.dispatch(new SidecarEvent.UpstreamResponseCompleted(id, 0));
          } else {
            sidecar.dispatch(
                step == 0
                    ? new SidecarEvent.UpstreamResponseStarted(id, new ResponseHead(200, List.of()))
                    : new SidecarEvent.UpstreamResponseData(
                        id, Bytes.ofText(run.parts.get(step - 1)), 0));
            runStep(id, run, step + 1);
          }
        });
  }

  private void failRun(AttemptId id, Reason reason) {
    Run run = runs.remove(id);
    if (run != null) {
      sidecar.dispatch(new SidecarEvent.UpstreamFailed(id, run.reached, reason));
    }
  }
}
