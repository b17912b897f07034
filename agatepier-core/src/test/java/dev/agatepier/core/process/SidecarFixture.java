package dev.agatepier.core.process;

import dev.agatepier.core.connection.AttemptMessage.StartAttempt;
import dev.agatepier.core.connection.LinkMessage;
import dev.agatepier.core.connection.LinkMessage.DemandUpdate;
import dev.agatepier.core.connection.LinkMessage.Grant;
import dev.agatepier.core.connection.LinkMessage.WorkspaceDemand;
import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.connection.Role;
import dev.agatepier.core.process.SidecarEvent.MessageReceived;
import dev.agatepier.core.process.SidecarEvent.RouterConnected;
import dev.agatepier.core.process.SidecarEvent.TableActivated;
import dev.agatepier.core.process.SidecarEvent.UpstreamHealthChanged;
import dev.agatepier.core.request.AttemptId;
import dev.agatepier.core.request.Bytes;
import dev.agatepier.core.request.CallHead;
import dev.agatepier.core.request.Fingerprint;
import dev.agatepier.core.request.RequestId;
import dev.agatepier.core.request.Ticket;
import dev.agatepier.core.version.Limits;
import dev.agatepier.core.version.ServiceEntry;
import dev.agatepier.core.version.ServiceKind;
import dev.agatepier.core.version.Table;
import dev.agatepier.core.version.Workspace;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** A sidecar decision with a manual clock, and factory methods for the records that drive it. */
final class SidecarFixture {
  static final PeerIdentity SIDECAR = sidecar("engine-1", "kolkata-a");
  static final PeerIdentity ROUTER = router("router-1", 1, "kolkata-a");
  static final CallHead HEAD = new CallHead("POST", "/v1/chat/completions", List.of());
  static final long WINDOW_BYTES = 100;

  final SidecarDecision decision;
  long nowMillis = 1_000;
  List<SidecarEffect> effects = List.of();

  SidecarFixture(SidecarPolicy policy, ServiceKind kind) {
    decision = new SidecarDecision(SIDECAR, policy);
    dispatch(new TableActivated(table(kind, Map.of())));
    dispatch(new UpstreamHealthChanged(true, false));
    dispatch(new RouterConnected(ROUTER));
  }

  /** Returns the sidecar of a model engine with a fixed number of slots. */
  static SidecarFixture model(int slots) {
    return new SidecarFixture(policy("virtual-service", slots), ServiceKind.MODEL);
  }

  static SidecarPolicy policy(String order, int slots) {
    return new SidecarPolicy(order, slots, slots, 31, 1_000, 250, 100_000, 600_000, 1_000);
  }

  static PeerIdentity router(String name, long incarnation, String dataCentre) {
    return new PeerIdentity(name, incarnation, Role.ROUTER, dataCentre, "bengal", "");
  }

  static PeerIdentity sidecar(String name, String dataCentre) {
    return new PeerIdentity(name, 7, Role.SIDECAR, dataCentre, "bengal", "plan-model");
  }

  static Table table(ServiceKind kind, Map<String, Double> weights) {
    Map<String, Workspace> workspaces = new HashMap<>();
    weights.forEach(
        (name, weight) ->
            workspaces.put(
                name, new Workspace(name, weight, "", new Limits(9, 9, 0), Set.of("plan-model"))));
    ServiceEntry service = new ServiceEntry("plan-model", kind, List.of(), 60_000, 0.1);
    return new Table(1, workspaces, Map.of("plan-model", service));
  }

  static AttemptId attempt(long number) {
    return new AttemptId(new RequestId("router-1", 1, number), 1);
  }

  static StartAttempt start(long grant, AttemptId attempt, String workspace) {
    return start(grant, attempt, workspace, 5_000, false, Optional.empty());
  }

  static StartAttempt start(
      long grant,
      AttemptId attempt,
      String workspace,
      long timeLeftMillis,
      boolean alone,
      Optional<Ticket> ticket) {
    Fingerprint fingerprint =
        new Fingerprint(
            workspace,
            "plan-model",
            ticket.isPresent() ? "ticketed" : "content-" + attempt.request().number());
    return new StartAttempt(
        grant,
        attempt,
        workspace,
        HEAD,
        Bytes.EMPTY,
        timeLeftMillis,
        false,
        alone,
        fingerprint,
        ticket,
        WINDOW_BYTES);
  }

  SidecarFixture dispatch(SidecarEvent event) {
    effects = decision.decide(event, TimeUnit.MILLISECONDS.toNanos(nowMillis));
    return this;
  }

  SidecarFixture receive(LinkMessage message) {
    return dispatch(new MessageReceived(ROUTER, message));
  }

  SidecarFixture demand(String workspace, int waiting, long waitMillis) {
    return receive(
        new DemandUpdate(List.of(new WorkspaceDemand(workspace, waiting, waitMillis, 0))));
  }

  SidecarFixture advance(long millis) {
    nowMillis += millis;
    return dispatch(new SidecarEvent.Tick());
  }

  /** Grants and starts one request of a workspace. */
  SidecarFixture run(String workspace, AttemptId attempt) {
    long number = demand(workspace, 1, 0).onlyMessage(Grant.class).grantNumber();
    demand(workspace, 0, 0);
    return receive(start(number, attempt, workspace));
  }

  /** Returns the messages of one type among the effects of the last event. */
  <M extends LinkMessage> List<M> sent(Class<M> kind) {
    return effects.stream()
        .filter(SidecarEffect.Send.class::isInstance)
        .map(effect -> ((SidecarEffect.Send) effect).message())
        .filter(kind::isInstance)
        .map(kind::cast)
        .toList();
  }

  <M extends LinkMessage> M onlyMessage(Class<M> kind) {
    List<M> messages = sent(kind);
    if (messages.size() != 1) {
      throw new AssertionError("expected one " + kind.getSimpleName() + " in " + effects);
    }
    return messages.getFirst();
  }

  <F extends SidecarEffect> boolean hasEffect(Class<F> kind) {
    return effects.stream().anyMatch(kind::isInstance);
  }
}
