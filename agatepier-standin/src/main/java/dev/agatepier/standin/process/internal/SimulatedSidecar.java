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

/** Simulates a sidecar and its upstream, which sends each response at a constant rate. */
final class SimulatedSidecar {

  private static final int SLOTS = 5;
  private static final long RESPONSE_NANOS = TimeUnit.MILLISECONDS.toNanos(7_100);
  private static final long CHUNK_NANOS = TimeUnit.MILLISECONDS.toNanos(250);
  private static final int CHUNK_TOKENS = 8;
  private static final Bytes CHUNK = Bytes.ofText("eight tokens of an answer, more or less, here");
  private static final SidecarPolicy POLICY =
      new SidecarPolicy(
          "virtual-service", SLOTS, SLOTS, 31, 1_000, 250, 100_000, 600_000, 4_194_304);

  private static final class Response {
    final long endNanos;
    long nextChunkNanos;

    Response(long nowNanos) {
      endNanos = nowNanos + RESPONSE_NANOS;
      nextChunkNanos = nowNanos + CHUNK_NANOS;
    }
  }

  private final SimulatedTransport transport;
  private final SidecarDecision decision;
  private final Map<AttemptId, Response> responses = new LinkedHashMap<>();
  private long nowNanos;

  SimulatedSidecar(SimulatedTransport transport, Table table) {
    this.transport = transport;
    decision = new SidecarDecision(transport.self(), POLICY);
    decide(new SidecarEvent.TableActivated(table));
    decide(new SidecarEvent.UpstreamHealthChanged(true, false));
  }

  void onRouterConnected(PeerIdentity router) {
    decide(new SidecarEvent.RouterConnected(router));
  }

  /** Handles the received messages and the response data that is due, and then the tick. */
  void step(long now) {
    nowNanos = now;
    transport.receive((peer, message) -> decide(new SidecarEvent.MessageReceived(peer, message)));
    List.copyOf(responses.entrySet()).forEach(entry -> sendDue(entry.getKey(), entry.getValue()));
    decide(new SidecarEvent.Tick());
  }

  private void sendDue(AttemptId attempt, Response response) {
    if (response.nextChunkNanos <= nowNanos) {
      response.nextChunkNanos += CHUNK_NANOS;
      decide(new SidecarEvent.UpstreamResponseData(attempt, CHUNK, CHUNK_TOKENS));
    }
    if (response.endNanos <= nowNanos) {
      responses.remove(attempt);
      decide(new SidecarEvent.UpstreamResponseCompleted(attempt, 0));
    }
  }

  private void decide(SidecarEvent event) {
    decision.decide(event, nowNanos).forEach(this::perform);
  }

  private void perform(SidecarEffect effect) {
    switch (effect) {
      case SidecarEffect.Send(String instance, LinkMessage message) ->
          transport.send(instance, message);
      case SidecarEffect.StartUpstream start -> {
        responses.put(start.attempt(), new Response(nowNanos));
        decide(
            new SidecarEvent.UpstreamResponseStarted(
                start.attempt(), new ResponseHead(200, List.of())));
      }
      case SidecarEffect.CancelUpstream(AttemptId attempt) -> responses.remove(attempt);
      case SidecarEffect.ReadUpstream _, SidecarEffect.Drained _ -> {
        // The simulated upstream ignores backpressure: it sends at a constant rate.
      }
    }
  }
}
