package dev.agatepier.core.process;

import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.connection.Role;
import dev.agatepier.core.connection.SlotMessage.SlotGranted;
import dev.agatepier.core.connection.SlotMessage.SlotsWanted;
import dev.agatepier.core.connection.SlotMessage.WaitingCall;
import dev.agatepier.core.connection.StreamMessage;
import dev.agatepier.core.connection.StreamMessage.OriginReply;
import dev.agatepier.core.process.RouterEffect.RunAttempt;
import dev.agatepier.core.request.Bytes;
import dev.agatepier.core.request.CallHead;
import dev.agatepier.core.request.CallLabels;
import dev.agatepier.core.request.CallPlan;
import dev.agatepier.core.request.Fingerprint;
import dev.agatepier.core.request.Outcome;
import dev.agatepier.core.request.Reason;
import dev.agatepier.core.request.RequestId;
import dev.agatepier.core.request.ResponseHead;
import dev.agatepier.core.version.AllowedRegions;
import dev.agatepier.core.version.InstanceList;
import dev.agatepier.core.version.SoftwareVersionHistory;
import dev.agatepier.core.version.Upstream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Routers that are killed, and callers that resume their streams at other routers, in virtual time.
 * A simulated allocator grants any upstream of the software version that a request is bound to.
 */
final class ResumingFleet {

  static final long TIMEOUT_MILLIS = 10_000;

  private static final CallPlan RESUMABLE =
      new CallPlan("r", false, true, true, 2, TIMEOUT_MILLIS, 500, 250, 1);
  private static final String SERVICE = AllocatingRouter.SERVICE;
  private static final int DATA_CENTRES = 3;
  private static final int EVENTS = 10;
  private static final int EVENT_MILLIS = 50;
  private static final int HOP_MILLIS = 20;
  private static final int TICK_MILLIS = 25;
  private static final int RESUME_MILLIS = 100;
  private static final long NANOS_PER_MILLI = 1_000_000;

  final VirtualTime time;
  final List<Node> nodes = new ArrayList<>();
  final List<Stream> streams = new ArrayList<>();
  private final Map<RequestId, Stream> calls = new HashMap<>();
  private final Set<RequestId> granted = new HashSet<>();
  private final String labelPrefix;
  private InstanceList instances = InstanceList.NONE;

  /** Whether upstreams may have started again with another software version than is listed. */
  boolean uncertain;

  /** Processes beside the upstreams, by address; empty if the routers use none. */
  private final Map<String, OriginCacheDecision> caches = new HashMap<>();

  private RouterPolicy policy = RouterPolicy.DEFAULT;

  /** Every software version that was ever listed. */
  private final Set<String> history = new HashSet<>();

  /** How often a caller calls again after a rejection. */
  private int retries;

  private long lastNumber;

  /** A caller's stream over all its calls. */
  static final class Stream {
    Node router;

    /** Software version of each event received. */
    final List<String> versions = new ArrayList<>();

    Optional<String> firstLabel = Optional.empty();
    String label;
    boolean complete;
    Reason rejected;
    Outcome outcome;
    int rejections;
    long calledMillis;
    long endedMillis;

    Set<String> distinctVersions() {
      return new HashSet<>(versions);
    }
  }

  /** Starts routers in three data centres before upstreams of one software version. */
  ResumingFleet(long seed, int routers) {
    time = new VirtualTime(seed);
    labelPrefix = seed + "-";
    for (int index = 0; index < routers; index++) {
      nodes.add(new Node("r" + index, "d" + index % DATA_CENTRES));
    }
    publish("v1");
    nodes.forEach(Node::start);
    tick();
  }

  /** Starts an origin cache beside each upstream and restarts the routers. */
  void useOriginCaches() {
    RouterPolicy usual = RouterPolicy.DEFAULT;
    policy =
        new RouterPolicy(
            usual.sidecarsPerService(),
            usual.spillMillis(),
            usual.affinityMillis(),
            usual.attempts(),
            usual.quarantineDeaths(),
            usual.quarantineMillis(),
            usual.windowBytes(),
            usual.ticketMillis(),
            usual.retryWindowMillis(),
            usual.retrySlack(),
            usual.regionMillis(),
            usual.retryShare(),
            1);
    startMissingCaches();
    nodes.forEach(Node::stop);
    nodes.forEach(Node::start);
  }

  private void startMissingCaches() {
    instances
        .upstreams()
        .forEach(
            upstream ->
                caches.computeIfAbsent(upstream.address(), address -> new OriginCacheDecision()));
  }

  /** Starts the origin cache at an address, or starts it again without memory. */
  void startCache(String address) {
    caches.put(address, new OriginCacheDecision());
  }

  /** Lets callers call again after a rejection. */
  void retryRejected(int times) {
    retries = times;
  }

  /** Lists upstreams of the given software versions, two of each, at all routers at once. */
  void publish(String... versions) {
    publish(1, versions);
  }

  /** Lists upstreams at each router within a time. */
  void publish(int lagMillis, String... versions) {
    history.addAll(List.of(versions));
    List<Upstream> upstreams = new ArrayList<>();
    for (String version : versions) {
      for (int index = 0; index < 2; index++) {
        String name = version + "-" + index;
        upstreams.add(
            new Upstream(name, 1, SERVICE, "at-" + name, 8_000, "d0", 64, false, false, version));
      }
    }
    InstanceList list = new InstanceList(instances.version() + 1, List.of(), upstreams);
    instances = list;
    if (policy.originCachePort() > 0) {
      startMissingCaches();
    }
    for (Node node : nodes) {
      if (lagMillis > 1) {
        node.later(time.draw(lagMillis), () -> node.activate(list));
      } else {
        node.activate(list);
      }
    }
  }

  void advance(long millis) {
    time.runUntil(time.nowMillis() + millis);
  }

  /** Starts a stream at a router. */
  Stream open(Node router) {
    Stream stream = new Stream();
    streams.add(stream);
    call(stream, router);
    return stream;
  }

  /** Calls for the rest of a stream, or for all of it if no event has been received. */
  void call(Stream stream, Node router) {
    stream.router = router;
    stream.label = labelPrefix + ++lastNumber;
    stream.rejected = null;
    stream.calledMillis = time.nowMillis();
    RequestId request = new RequestId(router.self.instance(), router.incarnation, lastNumber);
    calls.put(request, stream);
    int received = stream.versions.size();
    router.dispatch(
        new RouterEvent.CallArrived(
            request,
            "w",
            SERVICE,
            new CallHead("POST", "/", List.of()),
            Bytes.EMPTY,
            new Fingerprint("w", SERVICE, request.toString()),
            Optional.empty(),
            (time.nowMillis() + TIMEOUT_MILLIS) * NANOS_PER_MILLI,
            Optional.of(RESUMABLE),
            Optional.empty(),
            received == 0 ? OptionalLong.empty() : OptionalLong.of(received),
            AllowedRegions.ALL,
            new CallLabels(stream.label, stream.firstLabel)));
  }

  /** Disconnects the caller of the last call. */
  void disconnectCaller(Stream stream) {
    calls.forEach(
        (request, called) -> {
          if (called == stream && request.number() == lastNumber) {
            stream.router.dispatch(new RouterEvent.CallerDisconnected(request));
          }
        });
  }

  /** Ends a router whose callers do not call again. */
  void end(Node router) {
    router.stop();
  }

  /** Kills routers; the streams there are resumed at others that are up, if there are any. */
  void kill(List<Node> killed) {
    killed.forEach(Node::stop);
    for (Stream stream : streams) {
      if (killed.contains(stream.router) && !stream.complete) {
        time.after(RESUME_MILLIS, () -> resume(stream));
      }
    }
  }

  private void resume(Stream stream) {
    List<Node> up = nodes.stream().filter(node -> node.up).toList();
    if (!up.isEmpty()) {
      call(stream, up.get(time.draw(up.size())));
    }
  }

  private void tick() {
    for (Node node : nodes) {
      node.confirmInstances();
      node.dispatch(new RouterEvent.Tick());
    }
    time.after(TICK_MILLIS, this::tick);
  }

  private Optional<Upstream> upstreamFor(String softwareVersion, InstanceList list) {
    List<Upstream> matching =
        list.upstreams().stream()
            .filter(
                upstream ->
                    softwareVersion.isEmpty() || upstream.softwareVersion().equals(softwareVersion))
            .toList();
    return matching.isEmpty()
        ? Optional.empty()
        : Optional.of(matching.get(time.draw(matching.size())));
  }

  /** A router process. */
  final class Node {
    final PeerIdentity self;
    boolean up;

    /** Whether the router receives nothing from other routers or the platform. */
    boolean silent;

    /** Whether the router does not receive newer lists. */
    boolean behind;

    /** Whether the router receives nothing from other routers. */
    boolean cutFromRouters;

    private long incarnation;
    private RouterDecision decision;
    private InstanceList active = InstanceList.NONE;

    private Node(String name, String dataCentre) {
      self = new PeerIdentity(name, 1, Role.ROUTER, dataCentre, dataCentre, "");
    }

    void start() {
      up = true;
      decision = new RouterDecision(self, policy);
      dispatch(new RouterEvent.TableActivated(AllocatingRouter.table(List.of("w"))));
      active = InstanceList.NONE;
      activate(instances);
      for (Node peer : nodes) {
        if (peer != this && peer.up) {
          dispatch(new RouterEvent.PeerConnected(peer.self));
          peer.dispatch(new RouterEvent.PeerConnected(self));
        }
      }
    }

    private void stop() {
      up = false;
      incarnation++;
      nodes.forEach(peer -> peer.dispatch(new RouterEvent.PeerDisconnected(self)));
    }

    private void activate(InstanceList list) {
      if (!behind && list.version() > active.version()) {
        active = list;
        dispatch(new RouterEvent.InstancesActivated(list));
      }
      confirmInstances();
    }

    private void confirmInstances() {
      if (!silent && active.version() == instances.version()) {
        dispatch(new RouterEvent.InstancesConfirmed(time.nowMillis() * NANOS_PER_MILLI));
      }
    }

    /** Starts again and reads all versions that were ever listed. */
    void restartWithHistory() {
      start();
      readHistory(history.toArray(String[]::new));
    }

    /** Passes on which software versions the service had before the router started. */
    void readHistory(String... versions) {
      SoftwareVersionHistory history =
          new SoftwareVersionHistory(
              Map.of(SERVICE, Set.of(versions)), SoftwareVersionHistory.UNLIMITED_MILLIS);
      dispatch(new RouterEvent.SoftwareVersionsRead(history));
    }

    /** Passes a message of a peer to the router. */
    void receive(PeerIdentity peer, StreamMessage message) {
      if (!silent && !cutFromRouters) {
        dispatch(new RouterEvent.MessageReceived(peer, message));
      }
    }

    private void dispatch(RouterEvent event) {
      if (up) {
        decision.decide(event, time.nowMillis() * NANOS_PER_MILLI).forEach(this::perform);
      }
    }

    private void perform(RouterEffect effect) {
      switch (effect) {
        case RouterEffect.Send(String to, StreamMessage message) ->
            nodes.stream()
                .filter(node -> node.self.instance().equals(to))
                .forEach(node -> node.later(HOP_MILLIS, () -> node.receive(self, message)));
        case RouterEffect.ReadUpstreams _ -> readUpstreams();
        case RouterEffect.SendToOriginCache(String address, StreamMessage message) ->
            later(HOP_MILLIS, () -> sendToCache(address, message));
        case RouterEffect.Send(String allocator, SlotsWanted wanted) ->
            wanted.waiting().forEach(call -> later(1, () -> grant(allocator, call)));
        case RunAttempt run -> later(EVENT_MILLIS, () -> startResponse(run));
        case RouterEffect.ContinueResponse part -> onEvent(part);
        case RouterEffect.EndResponse end -> calls.get(end.request()).complete = true;
        case RouterEffect.FailRequest fail -> {
          Stream stream = calls.get(fail.request());
          stream.rejected = fail.reason();
          stream.outcome = fail.outcome();
          stream.endedMillis = time.nowMillis();
          if (stream.rejections++ < retries) {
            time.after(RESUME_MILLIS, () -> resume(stream));
          }
        }
        default -> {
          // Concerns what this simulation does not have.
        }
      }
    }

    /** Reads the platform, which does not respond to a router that is cut off from it. */
    private void readUpstreams() {
      long startedNanos = time.nowMillis() * NANOS_PER_MILLI;
      if (!silent && !behind) {
        later(
            HOP_MILLIS,
            () -> dispatch(new RouterEvent.UpstreamsRead(instances.upstreams(), startedNanos)));
      }
    }

    private void sendToCache(String address, StreamMessage message) {
      OriginCacheDecision cache = caches.get(address);
      if (cache != null) {
        cache.decide(message, time.nowMillis() * NANOS_PER_MILLI).stream()
            .map(reply -> new RouterEvent.OriginCacheReplied(address, (OriginReply) reply))
            .forEach(reply -> later(HOP_MILLIS, () -> dispatch(reply)));
      }
    }

    private void onEvent(RouterEffect.ContinueResponse part) {
      Stream stream = calls.get(part.request());
      stream.versions.add(part.content().text());
      stream.firstLabel = stream.firstLabel.or(() -> Optional.of(stream.label));
    }

    private void grant(String allocator, WaitingCall call) {
      if (granted.add(call.request())) {
        upstreamFor(call.softwareVersion(), active)
            .map(
                upstream ->
                    new SlotGranted(
                        SERVICE,
                        call.request(),
                        upstream.name(),
                        false,
                        0,
                        0,
                        uncertain ? "" : upstream.softwareVersion()))
            .ifPresent(
                grant -> dispatch(new RouterEvent.AllocatorMessageReceived(allocator, grant)));
      }
    }

    private void startResponse(RunAttempt run) {
      dispatch(
          new RouterEvent.UpstreamResponseStarted(
              run.attempt(), new ResponseHead(200, List.of()), true));
      sendEvent(run, run.resumeAfter().orElse(0) + 1);
    }

    private void sendEvent(RunAttempt run, long number) {
      if (number > EVENTS) {
        dispatch(new RouterEvent.UpstreamResponseCompleted(run.attempt()));
        return;
      }
      Bytes content = Bytes.ofText(run.upstream().softwareVersion());
      dispatch(new RouterEvent.UpstreamResponseData(run.attempt(), content, number, number, 1));
      later(EVENT_MILLIS, () -> sendEvent(run, number + 1));
    }

    /** Does something later unless the process has ended by then. */
    private void later(long millis, Runnable action) {
      long expected = incarnation;
      time.after(
          millis,
          () -> {
            if (up && incarnation == expected) {
              action.run();
            }
          });
    }
  }
}
