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
 * An upstream that notes every request that reached it before it does anything. It may break before
 * or after that, and dies of a body that begins with {@link #CRASH}.
 */
final class VirtualUpstream {

  static final String CRASH = "crash";
  private static final int CRASH_MILLIS = 60;
  private static final int NOTICE_MILLIS = 5;

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

  void sidecarRestarted() {
    runs.clear();
  }

  void perform(SidecarEffect effect) {
    switch (effect) {
      case SidecarEffect.StartUpstream start -> start(start);
      case SidecarEffect.CancelUpstream cancel ->
          sidecar.later(1 + fleet.time.draw(20), () -> end(cancel.attempt(), Reason.WITHDRAWN));
      default -> {}
    }
  }

  /** Breaks some transfers, then lets the sidecar notice the death, then works again. */
  void die() {
    for (AttemptId attempt : List.copyOf(runs.keySet())) {
      if (fleet.time.chance(0.5)) {
        end(attempt, Reason.UPSTREAM_FAILED);
      }
    }
    List<AttemptId> rest = List.copyOf(runs.keySet());
    sidecar.later(
        1 + fleet.time.draw(NOTICE_MILLIS),
        () -> {
          rest.forEach(runs::remove);
          sidecar.tell(new SidecarEvent.UpstreamHealthChanged(false, true));
        });
    sidecar.later(
        100 + fleet.time.draw(400),
        () -> sidecar.tell(new SidecarEvent.UpstreamHealthChanged(true, false)));
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
    sidecar.later(1 + fleet.time.draw(10), () -> reach(start, run));
  }

  private void reach(SidecarEffect.StartUpstream start, Run run) {
    AttemptId id = start.attempt();
    if (runs.get(id) != run) {
      return;
    }
    if (fleet.faulty && fleet.time.chance(0.05)) {
      end(id, Reason.UPSTREAM_FAILED);
      return;
    }
    run.reached = true;
    fleet.ran(id, String.join("", run.parts));
    if (start.body().text().startsWith(CRASH)) {
      sidecar.later(CRASH_MILLIS + fleet.time.draw(40), () -> crash(id));
    } else {
      step(id, run, 0);
    }
  }

  private void crash(AttemptId id) {
    if (runs.containsKey(id)) {
      fleet.crashes++;
      die();
    }
  }

  /** Gives the head, each part and the end, one at a time, until the run fails. */
  private void step(AttemptId id, Run run, int step) {
    sidecar.later(
        5 + fleet.time.draw(60),
        () -> {
          if (runs.get(id) != run) {
            return;
          }
          if (step == run.failingStep) {
            end(id, Reason.UPSTREAM_FAILED);
          } else if (step > run.parts.size()) {
            runs.remove(id);
            sidecar.tell(new SidecarEvent.UpstreamResponseCompleted(id, 0));
          } else {
            sidecar.tell(
                step == 0
                    ? new SidecarEvent.UpstreamResponseStarted(id, new ResponseHead(200, List.of()))
                    : new SidecarEvent.UpstreamResponseData(
                        id, Bytes.ofText(run.parts.get(step - 1)), 0));
            step(id, run, step + 1);
          }
        });
  }

  private void end(AttemptId id, Reason reason) {
    Run run = runs.remove(id);
    if (run != null) {
      sidecar.tell(new SidecarEvent.UpstreamFailed(id, run.reached, reason));
    }
  }
}
