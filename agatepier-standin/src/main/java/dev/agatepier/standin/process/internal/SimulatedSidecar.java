package dev.agatepier.standin.process.internal;

import dev.agatepier.core.connection.LinkMessage;
import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.process.SidecarDecision;
import dev.agatepier.core.process.SidecarEffect;
import dev.agatepier.core.process.SidecarEvent;
import dev.agatepier.core.process.SidecarPolicy;
import dev.agatepier.core.request.AttemptId;
import dev.agatepier.core.request.Bytes;
import dev.agatepier.core.request.ResponseHead;
import dev.agatepier.core.version.Table;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** A sidecar's decision and an upstream that answers each attempt at a steady pace. */
final class SimulatedSidecar {

  private static final int SLOTS = 5;
  private static final long ANSWER_NANOS = TimeUnit.MILLISECONDS.toNanos(7_100);
  private static final long PART_NANOS = TimeUnit.MILLISECONDS.toNanos(250);
  private static final int PART_TOKENS = 8;
  private static final Bytes PART = Bytes.ofText("eight tokens of an answer, more or less, here");
  private static final SidecarPolicy POLICY =
      new SidecarPolicy(
          "virtual-service", SLOTS, SLOTS, 31, 1_000, 250, 100_000, 600_000, 4_194_304);

  private static final class Answer {
    final long endNanos;
    long nextPartNanos;

    Answer(long nowNanos) {
      endNanos = nowNanos + ANSWER_NANOS;
      nextPartNanos = nowNanos + PART_NANOS;
    }
  }

  private final SimulatedTransport port;
  private final SidecarDecision decision;
  private final Map<AttemptId, Answer> answers = new LinkedHashMap<>();
  private long nowNanos;

  SimulatedSidecar(SimulatedTransport port, Table table) {
    this.port = port;
    decision = new SidecarDecision(port.self(), POLICY);
    tell(new SidecarEvent.TableActivated(table));
    tell(new SidecarEvent.UpstreamHealthChanged(true, false));
  }

  void onRouterConnected(PeerIdentity router) {
    tell(new SidecarEvent.RouterConnected(router));
  }

  /** Takes in what arrived and what the upstream sends. */
  void step(long now) {
    nowNanos = now;
    port.receive((peer, message) -> tell(new SidecarEvent.MessageReceived(peer, message)));
    List.copyOf(answers.entrySet()).forEach(entry -> answer(entry.getKey(), entry.getValue()));
    tell(new SidecarEvent.Tick());
  }

  private void answer(AttemptId attempt, Answer answer) {
    if (answer.nextPartNanos <= nowNanos) {
      answer.nextPartNanos += PART_NANOS;
      tell(new SidecarEvent.UpstreamResponseData(attempt, PART, PART_TOKENS));
    }
    if (answer.endNanos <= nowNanos) {
      answers.remove(attempt);
      tell(new SidecarEvent.UpstreamResponseCompleted(attempt, 0));
    }
  }

  private void tell(SidecarEvent event) {
    decision.decide(event, nowNanos).forEach(this::perform);
  }

  private void perform(SidecarEffect effect) {
    switch (effect) {
      case SidecarEffect.Send(String instance, LinkMessage message) -> port.send(instance, message);
      case SidecarEffect.StartUpstream start -> {
        answers.put(start.attempt(), new Answer(nowNanos));
        tell(
            new SidecarEvent.UpstreamResponseStarted(
                start.attempt(), new ResponseHead(200, List.of())));
      }
      case SidecarEffect.CancelUpstream(AttemptId attempt) -> answers.remove(attempt);
      case SidecarEffect.ReadUpstream _, SidecarEffect.Drained _ -> {
        // The upstream sends at its own pace.
      }
    }
  }
}
