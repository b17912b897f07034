package dev.agatepier.core.process;

import dev.agatepier.core.connection.LinkMessage.DirectCrashReport;
import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.connection.Role;
import dev.agatepier.core.connection.SlotMessage;
import dev.agatepier.core.connection.SlotMessage.SlotChange;
import dev.agatepier.core.connection.SlotMessage.SlotGranted;
import dev.agatepier.core.connection.SlotMessage.SlotStage;
import dev.agatepier.core.connection.SlotMessage.SlotsChanged;
import dev.agatepier.core.connection.StreamMessage;
import dev.agatepier.core.process.RouterEffect.ContinueResponse;
import dev.agatepier.core.process.RouterEffect.EndResponse;
import dev.agatepier.core.process.RouterEffect.FailRequest;
import dev.agatepier.core.process.RouterEffect.RunAttempt;
import dev.agatepier.core.process.RouterEffect.Send;
import dev.agatepier.core.request.AttemptId;
import dev.agatepier.core.request.Bytes;
import dev.agatepier.core.request.CallHead;
import dev.agatepier.core.request.CallLabels;
import dev.agatepier.core.request.CallPlan;
import dev.agatepier.core.request.Fingerprint;
import dev.agatepier.core.request.PromptMetadata;
import dev.agatepier.core.request.PromptPart;
import dev.agatepier.core.request.Reason;
import dev.agatepier.core.request.RequestId;
import dev.agatepier.core.request.ResponseHead;
import dev.agatepier.core.version.AllowedRegions;
import dev.agatepier.core.version.CallerBounds;
import dev.agatepier.core.version.DataCentreRegions;
import dev.agatepier.core.version.InstanceList;
import dev.agatepier.core.version.Limits;
import dev.agatepier.core.version.Route;
import dev.agatepier.core.version.RouteIndex;
import dev.agatepier.core.version.ServiceEntry;
import dev.agatepier.core.version.ServiceKind;
import dev.agatepier.core.version.SlotAllocationMode;
import dev.agatepier.core.version.Table;
import dev.agatepier.core.version.Upstream;
import dev.agatepier.core.version.Workspace;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/**
 * A router decision that runs attempts on upstreams itself, in virtual time. The test simulates the
 * slot allocator and the upstreams.
 */
final class DirectRouterFixture {

  static final String SERVICE = "chair-desk";
  static final CallPlan SAFE = plan(true, false, false, 2);
  static final CallPlan UNSAFE = plan(false, false, false, 1);
  static final CallPlan UNSAFE_WITH_ATTEMPTS = plan(false, false, false, 3);
  static final CallPlan STREAM = plan(false, false, true, 1);
  static final CallPlan RESUMABLE = plan(false, true, true, 2);

  private static final long MILLI = 1_000_000;

  static final DataCentreRegions REGIONS =
      new DataCentreRegions(Map.of("a1", "a", "a2", "a", "b1", "b"));

  final RouterDecision decision;
  final List<RouterEffect> effects = new ArrayList<>();
  long now = 3_000 * MILLI;
  private final Map<String, String> versions = new HashMap<>();
  private long calls;
  private long incarnation = 1;
  private long evacuatedRevision;
  private long tableVersion;

  DirectRouterFixture() {
    this(RouterPolicy.DEFAULT, List.of(upstream("u1"), upstream("u2")));
  }

  private DirectRouterFixture(RouterPolicy policy, List<Upstream> upstreams) {
    decision =
        new RouterDecision(identity("r1", "a1"), policy, SlotAllocatorPolicy.DEFAULT, REGIONS);
    activateWithoutRoutes();
    if (!upstreams.isEmpty()) {
      dispatch(new RouterEvent.InstancesActivated(new InstanceList(1, List.of(), upstreams)));
    }
  }

  /** Returns a router that has a table and no instance list yet. */
  static DirectRouterFixture withoutInstances() {
    return new DirectRouterFixture(RouterPolicy.DEFAULT, List.of());
  }

  /** Returns a router that asks the origin caches beside the given upstreams. */
  static DirectRouterFixture withOriginCaches(Upstream... upstreams) {
    return new DirectRouterFixture(
        new RouterPolicy(16, 500, 50, 3, 3, 600_000, 262_144, 600_000, 10_000, 50, 80, 0.1, 9_000),
        List.of(upstreams));
  }

  /** Activates a table with lists of allowed regions for the plans' route and for workspace w. */
  void activateLists(AllowedRegions route, AllowedRegions workspace) {
    Route listed =
        new Route("a", "/", List.of(new Route.WeightedService(SERVICE, 1)), SAFE, false, route);
    activate(workspace, List.of(listed));
  }

  /** Activates a table with one route. */
  void activateRoute(CallPlan plan) {
    List<Route.WeightedService> services = List.of(new Route.WeightedService(SERVICE, 1));
    activate(AllowedRegions.ALL, List.of(new Route("a", "/", services, plan, false)));
  }

  /** Activates a table without routes. */
  void activateWithoutRoutes() {
    activate(AllowedRegions.ALL, List.of());
  }

  private void activate(AllowedRegions allowed, List<Route> routes) {
    ServiceEntry service =
        new ServiceEntry(
            SERVICE,
            ServiceKind.PLAIN,
            List.of(),
            60_000,
            0.2,
            SlotAllocationMode.ROUTER,
            Optional.empty());
    Limits limits = new Limits(1_000, 1_000, 0);
    Workspace row = new Workspace("w", 1, List.of("00"), limits, Set.of(SERVICE), allowed);
    Map<String, Workspace> workspaces = Map.of("w", row);
    dispatch(
        new RouterEvent.TableActivated(
            new Table(
                ++tableVersion,
                workspaces,
                Map.of(SERVICE, service),
                new RouteIndex(routes),
                CallerBounds.DEFAULT)));
  }

  /** Replaces the instance list by upstreams with 4 slots each, by name and data centre. */
  void publish(Map<String, String> dataCentres) {
    List<Upstream> upstreams = new ArrayList<>();
    dataCentres.forEach(
        (name, dataCentre) ->
            upstreams.add(
                new Upstream(name, 1, SERVICE, "127.0.0.1", 8_000, dataCentre, 4, false)));
    publish(upstreams);
  }

  /** Replaces the instance list. */
  void publish(List<Upstream> upstreams) {
    upstreams.forEach(upstream -> versions.put(upstream.name(), upstream.softwareVersion()));
    dispatch(
        new RouterEvent.InstancesActivated(new InstanceList(++incarnation, List.of(), upstreams)));
  }

  /** Returns an upstream with a software version. */
  static Upstream versioned(String name, long incarnation, String dataCentre, String version) {
    return new Upstream(
        name, incarnation, SERVICE, "127.0.0.1", 8_000, dataCentre, 4, false, false, version);
  }

  static PeerIdentity identity(String name, String dataCentre) {
    return new PeerIdentity(name, 1, Role.ROUTER, dataCentre, dataCentre, "");
  }

  static Upstream upstream(String name) {
    return upstream(name, false);
  }

  private static Upstream upstream(String name, boolean leaving) {
    return upstream(name, 1, leaving);
  }

  private static Upstream upstream(String name, long incarnation, boolean leaving) {
    return new Upstream(name, incarnation, SERVICE, "127.0.0.1", 8_000, "a1", 4, leaving);
  }

  /** Activates a list with one upstream in each data centre, some of which are evacuated. */
  void evacuate(Set<String> evacuated) {
    Upstream other = new Upstream("u3", 1, SERVICE, "127.0.0.1", 8_000, "b1", 4, false);
    List<Upstream> upstreams = List.of(upstream("u1"), upstream("u2"), other);
    dispatch(
        new RouterEvent.InstancesActivated(
            new InstanceList(2, List.of(), upstreams, evacuated, ++evacuatedRevision)));
  }

  static Upstream leaving(String name) {
    return upstream(name, true);
  }

  /** Replaces the instance list by one in which every upstream has started again. */
  void restartUpstreams() {
    incarnation++;
    dispatch(
        new RouterEvent.InstancesActivated(
            new InstanceList(
                incarnation,
                List.of(),
                List.of(upstream("u1", incarnation, false), upstream("u2", incarnation, false)))));
  }

  private static CallPlan plan(
      boolean idempotent, boolean resumable, boolean streaming, int attempts) {
    return new CallPlan("r", idempotent, resumable, streaming, attempts, 10_000, 500, 250, 1);
  }

  List<RouterEffect> dispatch(RouterEvent event) {
    List<RouterEffect> newEffects = decision.decide(event, now);
    effects.addAll(newEffects);
    return newEffects;
  }

  /** Makes a call with the named shared prompt parts and a last part that no other call has. */
  RequestId callWithParts(CallPlan plan, String... shared) {
    List<PromptPart> parts = new ArrayList<>();
    for (String part : shared) {
      parts.add(new PromptPart(part, 10));
    }
    parts.add(new PromptPart("own-" + calls, 10));
    return call(plan, OptionalLong.empty(), parts);
  }

  /** Makes a call on a route that allows some regions. */
  RequestId callIn(AllowedRegions allowed, CallPlan plan) {
    return call(plan, OptionalLong.empty(), List.of(), allowed);
  }

  RequestId call(CallPlan plan) {
    return call(plan, OptionalLong.empty());
  }

  RequestId call(CallPlan plan, OptionalLong resumeAfter) {
    return call(plan, resumeAfter, List.of());
  }

  private RequestId call(CallPlan plan, OptionalLong resumeAfter, List<PromptPart> parts) {
    return call(plan, resumeAfter, parts, AllowedRegions.ALL);
  }

  /** Makes a call with its own label; it resumes a stream if it names another one. */
  RequestId call(CallPlan plan, String own, OptionalLong resumeAfter, Optional<String> resumed) {
    CallLabels labels = new CallLabels(own, resumed);
    return call(plan, resumeAfter, List.of(), AllowedRegions.ALL, labels);
  }

  private RequestId call(
      CallPlan plan, OptionalLong resumeAfter, List<PromptPart> parts, AllowedRegions allowed) {
    return call(plan, resumeAfter, parts, allowed, CallLabels.NONE);
  }

  private RequestId call(
      CallPlan plan,
      OptionalLong resumeAfter,
      List<PromptPart> parts,
      AllowedRegions allowed,
      CallLabels labels) {
    RequestId request = new RequestId("r1", 1, ++calls);
    dispatch(
        new RouterEvent.CallArrived(
            request,
            "w",
            SERVICE,
            new CallHead("POST", "/", List.of()),
            Bytes.EMPTY,
            new Fingerprint("w", SERVICE, request.toString()),
            Optional.empty(),
            now + 10_000 * MILLI,
            Optional.of(plan),
            parts.isEmpty()
                ? Optional.empty()
                : Optional.of(new PromptMetadata("m", 10 * parts.size(), 5, parts)),
            resumeAfter,
            allowed,
            labels));
    return request;
  }

  List<RouterEffect> grant(RequestId request, String upstream) {
    return grantFrom("r1", request, upstream);
  }

  List<RouterEffect> grantFrom(String allocator, RequestId request, String upstream) {
    return dispatch(
        new RouterEvent.AllocatorMessageReceived(
            allocator,
            new SlotGranted(
                SERVICE, request, upstream, false, 0, 0, versions.getOrDefault(upstream, ""))));
  }

  /** Grants a slot of a cold upstream in reply to a report, by its waiting call. */
  List<RouterEffect> grantCold(SlotMessage.WaitingCall report, String upstream, long waited) {
    return dispatch(
        new RouterEvent.AllocatorMessageReceived(
            "r1",
            new SlotGranted(
                SERVICE, report.request(), upstream, true, waited, report.timeLeftMillis(), "")));
  }

  /** Makes a call and grants it a slot. */
  RequestId run(CallPlan plan, String upstream) {
    RequestId request = call(plan);
    grant(request, upstream);
    return request;
  }

  AttemptId attempt(RequestId request) {
    return runs(request).getLast().attempt();
  }

  /** Returns the attempts of a request, in order. */
  List<RunAttempt> runs(RequestId request) {
    return effects.stream()
        .filter(RunAttempt.class::isInstance)
        .map(RunAttempt.class::cast)
        .filter(run -> run.attempt().request().equals(request))
        .toList();
  }

  /** Starts an event stream if the status is 200, otherwise another response. */
  void startResponse(RequestId request, int status) {
    startResponse(request, status, status == 200);
  }

  void startResponse(RequestId request, int status, boolean eventStream) {
    dispatch(
        new RouterEvent.UpstreamResponseStarted(
            attempt(request), new ResponseHead(status, List.of()), eventStream));
  }

  /** Sends content without event numbers. */
  void sendContent(RequestId request, String content) {
    dispatch(
        new RouterEvent.UpstreamResponseData(attempt(request), Bytes.ofText(content), -1, -1, 0));
  }

  void sendEvent(RequestId request, long number) {
    Bytes content = Bytes.ofText(number + ";");
    dispatch(new RouterEvent.UpstreamResponseData(attempt(request), content, number, number, 5));
  }

  void endResponse(RequestId request) {
    dispatch(new RouterEvent.UpstreamResponseCompleted(attempt(request)));
  }

  void failAttempt(RequestId request, Reason reason) {
    dispatch(new RouterEvent.UpstreamFailed(attempt(request), reason));
  }

  void reportNotRun(RequestId request, Reason reason) {
    dispatch(new RouterEvent.UpstreamNotRun(attempt(request), reason, true));
  }

  void advance(long millis) {
    now += millis * MILLI;
    dispatch(new RouterEvent.Tick());
  }

  /** Returns the part of the response that the caller has received, and how the request ended. */
  String responseTo(RequestId request) {
    StringBuilder response = new StringBuilder();
    for (RouterEffect effect : effects) {
      if (effect instanceof RouterEffect.BeginResponse(RequestId of, ResponseHead head)
          && of.equals(request)) {
        response.append(head.status()).append(' ');
      } else if (effect instanceof ContinueResponse(RequestId of, Bytes content)
          && of.equals(request)) {
        response.append(content.text());
      } else if (effect instanceof EndResponse end && end.request().equals(request)) {
        response.append("complete");
      } else if (effect instanceof FailRequest fail && fail.request().equals(request)) {
        response.append(fail.outcome().code()).append(' ').append(fail.reason().code());
      }
    }
    return response.toString();
  }

  /** Returns the state changes of a request that were sent to the allocator, in order. */
  List<SlotStage> stages(RequestId request) {
    List<SlotStage> stages = new ArrayList<>();
    for (RouterEffect effect : effects) {
      if (effect instanceof Send send && send.message() instanceof SlotsChanged changed) {
        changed.changes().stream()
            .filter(change -> change.request().equals(request))
            .map(SlotChange::stage)
            .forEach(stages::add);
      }
    }
    return stages;
  }

  /** Returns the reports of crashes that were sent to another router, in order. */
  List<DirectCrashReport> sentReports(String other) {
    return effects.stream()
        .filter(effect -> effect instanceof Send send && send.instance().equals(other))
        .map(effect -> ((Send) effect).message())
        .filter(DirectCrashReport.class::isInstance)
        .map(DirectCrashReport.class::cast)
        .toList();
  }

  /** Returns the last waiting request that was reported to the allocator. */
  SlotMessage.WaitingCall lastWaiting() {
    return sent("r1", SlotMessage.SlotsWanted.class).getLast().waiting().getLast();
  }

  /** Returns the messages of one type that were sent to an allocator. */
  <M extends SlotMessage> List<M> sent(String allocator, Class<M> kind) {
    return effects.stream()
        .filter(effect -> effect instanceof Send send && send.instance().equals(allocator))
        .map(effect -> ((Send) effect).message())
        .filter(kind::isInstance)
        .map(kind::cast)
        .toList();
  }

  /** Returns the messages of a kind that were sent to any router. */
  <M extends StreamMessage> List<M> sent(Class<M> kind) {
    return effects.stream()
        .filter(RouterEffect.Send.class::isInstance)
        .map(effect -> ((RouterEffect.Send) effect).message())
        .filter(kind::isInstance)
        .map(kind::cast)
        .toList();
  }
}
