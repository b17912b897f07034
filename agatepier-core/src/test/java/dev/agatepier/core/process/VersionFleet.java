package dev.agatepier.core.process;

import dev.agatepier.core.connection.LinkMessage;
import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.connection.Role;
import dev.agatepier.core.connection.VersionMessage;
import dev.agatepier.core.connection.VersionMessage.ManifestTransfer;
import dev.agatepier.core.connection.VersionMessage.PageReference;
import dev.agatepier.core.request.Bytes;
import dev.agatepier.core.version.Instance;
import dev.agatepier.core.version.InstanceList;
import dev.agatepier.core.version.ReadTimestamp;
import dev.agatepier.core.version.Table;
import dev.agatepier.core.version.TableMistake;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/** Version decisions of one data centre in a full mesh, with one fake platform. */
final class VersionFleet {

  static final long STEP_MILLIS = 100;

  final Map<String, VersionDecision> nodes = new LinkedHashMap<>();
  final Set<String> withoutPlatform = new HashSet<>();
  final Set<Long> badVersions = new HashSet<>();
  final List<Long> refusals = new ArrayList<>();
  final Map<String, Integer> pagesFromPlatform = new TreeMap<>();
  ManifestTransfer manifest = new ManifestTransfer(0, List.of());
  InstanceList instances = InstanceList.NONE;
  final Map<String, ReadTimestamp> confirmed = new TreeMap<>();
  int reads;
  int pagesFromPeers;

  private final VersionPolicy policy;
  private final Map<String, Map<PlatformSubject, Watch>> watches = new LinkedHashMap<>();
  private final Queue<Runnable> work = new ArrayDeque<>();
  private long nowMillis = 1_000_000;

  /** A long-poll read that the fake platform holds until there is a newer version. */
  private record Watch(long afterVersion, ReadTimestamp started) {}

  VersionFleet(VersionPolicy policy) {
    this.policy = policy;
  }

  void add(String name) {
    nodes.keySet().forEach(other -> link(name, other));
    nodes.put(name, new VersionDecision(name, "kolkata-a", policy));
    nodes.keySet().forEach(other -> link(other, name));
    watches.put(name, new LinkedHashMap<>());
  }

  void remove(String name) {
    nodes.remove(name);
    watches.remove(name);
    nodes.keySet().forEach(other -> dispatch(other, new VersionEvent.PeerDisconnected(peer(name))));
  }

  void publish(long version, String... digests) {
    manifest =
        new ManifestTransfer(
            version,
            List.of(digests).stream().map(digest -> new PageReference(digest, digest, 1)).toList());
  }

  void publishInstances(long version) {
    instances =
        new InstanceList(version, nodes.keySet().stream().map(VersionFleet::instance).toList());
  }

  /** Lets one node read a list of its own from the platform. */
  void readInstances(String name, long version, Set<String> evacuated, long evacuatedRevision) {
    InstanceList list =
        new InstanceList(version, instances.instances(), List.of(), evacuated, evacuatedRevision);
    dispatch(name, new VersionEvent.InstancesRead(list, 0.5));
  }

  long countWithEvacuated(Set<String> evacuated) {
    return nodes.values().stream()
        .filter(node -> node.instances().evacuated().equals(evacuated))
        .count();
  }

  void run(long millis) {
    for (long passed = 0; passed < millis; passed += STEP_MILLIS) {
      nowMillis += STEP_MILLIS;
      for (String name : List.copyOf(nodes.keySet())) {
        dispatch(name, new VersionEvent.Tick((Math.abs(name.hashCode()) % 100) / 100.0, now()));
        completeWatches(name);
      }
      heartbeats();
    }
  }

  long version(String name) {
    return nodes.get(name).table().version();
  }

  long countWithVersion(long version) {
    return nodes.keySet().stream().filter(name -> version(name) == version).count();
  }

  /** Counts the nodes whose table was confirmed within the given time. */
  long countConfirmedWithin(long millis) {
    return nodes.keySet().stream()
        .filter(confirmed::containsKey)
        .filter(name -> confirmed.get(name).ageMillis(now()) < millis)
        .count();
  }

  long countWatching() {
    return watches.values().stream().filter(w -> w.containsKey(PlatformSubject.TABLE)).count();
  }

  List<String> watchers() {
    return nodes.keySet().stream()
        .filter(name -> watches.get(name).containsKey(PlatformSubject.TABLE))
        .toList();
  }

  private ReadTimestamp now() {
    return new ReadTimestamp(TimeUnit.MILLISECONDS.toNanos(nowMillis), nowMillis);
  }

  private void heartbeats() {
    for (String from : nodes.keySet()) {
      VersionDecision node = nodes.get(from);
      InstanceList list = node.instances();
      var heartbeat =
          new LinkMessage.Heartbeat(
              node.table().version(), list.version(), list.evacuatedRevision(), false, nowMillis);
      nodes.keySet().stream()
          .filter(to -> !to.equals(from))
          .forEach(
              to -> dispatch(to, new VersionEvent.MessageReceived(peer(from), heartbeat, now())));
    }
  }

  private void link(String at, String other) {
    if (nodes.containsKey(at) && !at.equals(other)) {
      dispatch(at, new VersionEvent.PeerConnected(peer(other)));
    }
    if (nodes.containsKey(other) && !at.equals(other)) {
      dispatch(other, new VersionEvent.PeerConnected(peer(at)));
    }
  }

  private void dispatch(String name, VersionEvent event) {
    work.add(
        () -> {
          if (nodes.containsKey(name)) {
            long nanos = TimeUnit.MILLISECONDS.toNanos(nowMillis);
            nodes.get(name).decide(event, nanos).forEach(effect -> execute(name, effect));
          }
        });
    if (work.size() == 1) {
      while (!work.isEmpty()) {
        work.peek().run();
        work.remove();
      }
    }
  }

  private void execute(String name, VersionEffect effect) {
    switch (effect) {
      case VersionEffect.Send(
              String to,
              VersionMessage.PageTransfer(String digest, Bytes content)) -> {
        pagesFromPeers++;
        dispatch(to, new VersionEvent.PageReceived(name, digest, Optional.of(content)));
      }
      case VersionEffect.Send(String to, LinkMessage message) ->
          dispatch(to, new VersionEvent.MessageReceived(peer(name), message, now()));
      case VersionEffect.ReadPlatform read -> read(name, read);
      case VersionEffect.ReadPage(PageReference page) -> {
        reads++;
        pagesFromPlatform.merge(page.digest(), 1, Integer::sum);
        dispatch(
            name,
            new VersionEvent.PageReceived(
                VersionDecision.PLATFORM, page.digest(), Optional.of(Bytes.ofText(page.name()))));
      }
      case VersionEffect.PrepareTable(ManifestTransfer manifestToPrepare, List<Bytes> pages) ->
          dispatch(
              name,
              badVersions.contains(manifestToPrepare.version())
                  ? new VersionEvent.TableRefused(
                      manifestToPrepare, List.of(new TableMistake("workspaces", 2, 1, "bad")))
                  : new VersionEvent.TablePrepared(
                      manifestToPrepare,
                      new Table(manifestToPrepare.version(), Map.of(), Map.of())));
      case VersionEffect.ReportRefusal refusal -> refusals.add(refusal.version());
      case VersionEffect.PublishTable ignored -> {}
      case VersionEffect.ReadUpstreams ignored -> {}
      case VersionEffect.ReportUpstreams ignored -> {}
      case VersionEffect.ReportUpstreamsUnknown ignored -> {}
      case VersionEffect.ReportEvacuation ignored -> {}
      case VersionEffect.ConfirmTable(ReadTimestamp started) -> confirmed.put(name, started);
      case VersionEffect.PublishInstances ignored -> {}
      case VersionEffect.ConfirmInstances ignored -> {}
    }
  }

  private void read(String name, VersionEffect.ReadPlatform read) {
    reads++;
    if (withoutPlatform.contains(name)) {
      dispatch(name, new VersionEvent.ReadFailed(read.subject(), 0.5));
    } else if (read.waitSeconds() > 0) {
      watches.get(name).put(read.subject(), new Watch(read.afterVersion(), now()));
    } else {
      respond(name, read.subject(), now());
    }
  }

  private void completeWatches(String name) {
    Map<PlatformSubject, Watch> held = watches.get(name);
    for (PlatformSubject subject : List.copyOf(held.keySet())) {
      long current = subject == PlatformSubject.TABLE ? manifest.version() : instances.version();
      Watch watch = held.get(subject);
      if (current > watch.afterVersion()) {
        held.remove(subject);
        respond(name, subject, watch.started());
      } else if (watch.started().ageMillis(now()) >= watchMillis()) {
        held.remove(subject);
        dispatch(name, new VersionEvent.PlatformUnchanged(subject, watch.started()));
      }
    }
  }

  private void respond(String name, PlatformSubject subject, ReadTimestamp started) {
    dispatch(
        name,
        subject == PlatformSubject.TABLE
            ? new VersionEvent.ManifestRead(manifest, 0.5, started)
            : new VersionEvent.InstancesRead(instances, 0.5));
  }

  private long watchMillis() {
    return TimeUnit.SECONDS.toMillis(policy.watchSeconds());
  }

  private static PeerIdentity peer(String name) {
    return new PeerIdentity(name, 1, Role.ROUTER, "kolkata-a", "kolkata", "");
  }

  private static Instance instance(String name) {
    return new Instance(name, Role.ROUTER, "127.0.0.1", 1, 2, "kolkata-a", "kolkata", "", false);
  }
}
