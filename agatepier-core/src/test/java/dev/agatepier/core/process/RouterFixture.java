package dev.agatepier.core.process;

import dev.agatepier.core.connection.AttemptMessage.AttemptContent;
import dev.agatepier.core.connection.AttemptMessage.AttemptEnd;
import dev.agatepier.core.connection.AttemptMessage.AttemptFailed;
import dev.agatepier.core.connection.AttemptMessage.AttemptHead;
import dev.agatepier.core.connection.AttemptMessage.AttemptNotRun;
import dev.agatepier.core.connection.AttemptMessage.StartAttempt;
import dev.agatepier.core.connection.LinkMessage;
import dev.agatepier.core.connection.LinkMessage.Grant;
import dev.agatepier.core.connection.LinkMessage.Heartbeat;
import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.connection.Role;
import dev.agatepier.core.process.RouterEffect.EndResponse;
import dev.agatepier.core.process.RouterEffect.FailRequest;
import dev.agatepier.core.process.RouterEffect.Send;
import dev.agatepier.core.request.AttemptId;
import dev.agatepier.core.request.Bytes;
import dev.agatepier.core.request.CallHead;
import dev.agatepier.core.request.Fingerprint;
import dev.agatepier.core.request.Reason;
import dev.agatepier.core.request.RequestId;
import dev.agatepier.core.request.ResponseHead;
import dev.agatepier.core.request.Ticket;
import dev.agatepier.core.version.CallPattern;
import dev.agatepier.core.version.Limits;
import dev.agatepier.core.version.ServiceEntry;
import dev.agatepier.core.version.ServiceKind;
import dev.agatepier.core.version.Table;
import dev.agatepier.core.version.Workspace;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** A router decision in virtual time, driven by short scripts. */
public final class RouterFixture {

  public static final String SERVICE = "chair-desk";
  public static final long MILLI = 1_000_000;
  public static final long DEADLINE_MILLIS = 10_000;

  public final RouterDecision decision;
  public final List<RouterEffect> effects = new ArrayList<>();
  public final Map<String, PeerIdentity> linked = new HashMap<>();
  public long now = -5_000 * MILLI;
  private long grants;
  private long calls;
  private AttemptId attempt;
  private PeerIdentity attemptPeer;

  public RouterFixture() {
    this(RouterPolicy.DEFAULT, new Limits(10, 5, 0), 1);
  }

  public RouterFixture(RouterPolicy policy, Limits limits, double retryShare) {
    decision = new RouterDecision(router("r1"), policy);
    dispatch(new RouterEvent.TableActivated(table(limits, retryShare)));
  }

  public static Table table(Limits limits, double retryShare) {
    ServiceEntry entry =
        new ServiceEntry(
            SERVICE,
            ServiceKind.PLAIN,
            List.of(new CallPattern("GET", "/")),
            DEADLINE_MILLIS,
            retryShare);
    ServiceEntry closed =
        new ServiceEntry("closed", ServiceKind.PLAIN, List.of(), DEADLINE_MILLIS, 0);
    return new Table(
        1,
        Map.of("w", row("w", limits), "v", row("v", limits)),
        Map.of(SERVICE, entry, "closed", closed));
  }

  private static Workspace row(String name, Limits limits) {
    return new Workspace(name, 1, "00", limits, Set.of(SERVICE));
  }

  public static PeerIdentity router(String name) {
    return new PeerIdentity(name, 1, Role.ROUTER, "a1", "a", "");
  }

  public static PeerIdentity sidecar(String name, long incarnation, String dataCentre) {
    return new PeerIdentity(
        name, incarnation, Role.SIDECAR, dataCentre, dataCentre.substring(0, 1), SERVICE);
  }

  public List<RouterEffect> dispatch(RouterEvent event) {
    List<RouterEffect> newEffects = decision.decide(event, now);
    effects.addAll(newEffects);
    for (RouterEffect effect : newEffects) {
      if (effect instanceof Send send && send.message() instanceof StartAttempt start) {
        attempt = start.attempt();
        attemptPeer = linked.get(send.instance());
      }
    }
    return newEffects;
  }

  public List<RouterEffect> message(PeerIdentity peer, LinkMessage message) {
    return dispatch(new RouterEvent.MessageReceived(peer, message));
  }

  public PeerIdentity link(String name, long incarnation, String dataCentre) {
    PeerIdentity peer = sidecar(name, incarnation, dataCentre);
    linked.put(name, peer);
    dispatch(new RouterEvent.PeerConnected(peer));
    message(peer, new Heartbeat(1, 1, false, 700));
    return peer;
  }

  public RequestId call(String workspace, String method, String body, Optional<Ticket> ticket) {
    RequestId request = new RequestId("r1", 1, ++calls);
    dispatch(
        new RouterEvent.CallArrived(
            request,
            workspace,
            SERVICE,
            new CallHead(method, "/", List.of()),
            Bytes.ofText(body),
            new Fingerprint(workspace, SERVICE, body),
            ticket,
            now + DEADLINE_MILLIS * MILLI));
    return request;
  }

  public static Ticket ticket(String workspace, String sidecar, long incarnation) {
    return new Ticket(workspace, SERVICE, sidecar, incarnation, 0, new RequestId("r0", 1, 9));
  }

  public List<RouterEffect> grant(String sidecar, String workspace) {
    return message(linked.get(sidecar), new Grant(++grants, workspace));
  }

  /** Runs the steps of a script, which are separated by semicolons. */
  public void run(String script) {
    for (String step : script.split(";")) {
      String[] words = step.trim().split(" ");
      step(words[0], words.length > 1 ? words[1] : "");
    }
  }

  private void step(String verb, String argument) {
    switch (verb) {
      case "link" -> link(argument.substring(0, 2), Long.parseLong(argument.substring(3)), "a1");
      case "grant" -> grant(argument, "w");
      case "head" ->
          message(attemptPeer, new AttemptHead(attempt, new ResponseHead(200, List.of())));
      case "part" ->
          message(
              attemptPeer,
              new AttemptContent(attempt, Integer.parseInt(argument), Bytes.ofText("x")));
      case "end" -> message(attemptPeer, new AttemptEnd(attempt, Integer.parseInt(argument), 3));
      case "notrun" -> message(attemptPeer, new AttemptNotRun(attempt, reason(argument)));
      case "failed" -> message(attemptPeer, new AttemptFailed(attempt, reason(argument)));
      case "lost" -> dispatch(new RouterEvent.PeerDisconnected(linked.get(argument)));
      case "disconnect" ->
          dispatch(new RouterEvent.CallerDisconnected(new RequestId("r1", 1, calls)));
      case "wait" -> advance(Long.parseLong(argument));
      case "" -> {}
      default -> throw new IllegalArgumentException("unknown step '" + verb + "'");
    }
  }

  public List<RouterEffect> advance(long millis) {
    now += millis * MILLI;
    return dispatch(new RouterEvent.Tick());
  }

  private static Reason reason(String argument) {
    return Reason.valueOf(argument.replace('-', '_').toUpperCase(Locale.ROOT));
  }

  /** Returns the outcome and reason of each request, in order. */
  public List<String> outcomes() {
    List<String> outcomes = new ArrayList<>();
    for (RouterEffect effect : effects) {
      if (effect instanceof EndResponse) {
        outcomes.add("completed");
      } else if (effect instanceof FailRequest fail) {
        outcomes.add(fail.outcome().code() + " " + fail.reason().code());
      }
    }
    return outcomes;
  }

  /** Returns the messages of one type that were sent to a peer. */
  public <M extends LinkMessage> List<M> sent(String instance, Class<M> kind) {
    return effects.stream()
        .filter(effect -> effect instanceof Send send && send.instance().equals(instance))
        .map(effect -> ((Send) effect).message())
        .filter(kind::isInstance)
        .map(kind::cast)
        .toList();
  }
}
