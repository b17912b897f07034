package dev.agatepier.core.process;

import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.connection.SlotMessage;
import dev.agatepier.core.process.internal.AllocatorRegions;
import dev.agatepier.core.process.internal.AllocatorSelection;
import dev.agatepier.core.process.internal.FairOrder;
import dev.agatepier.core.process.internal.RecentPeak;
import dev.agatepier.core.process.internal.ServiceSlots;
import dev.agatepier.core.process.internal.StartupMessageBuffer;
import dev.agatepier.core.process.internal.UpstreamAvailability;
import dev.agatepier.core.process.internal.UpstreamPlace;
import dev.agatepier.core.process.internal.WorkspaceLedger;
import dev.agatepier.core.version.DataCentreRegions;
import dev.agatepier.core.version.InstanceList;
import dev.agatepier.core.version.ServiceEntry;
import dev.agatepier.core.version.SlotAllocationMode;
import dev.agatepier.core.version.Table;
import dev.agatepier.core.version.Upstream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Allocates the slots of upstreams that have no sidecar, for the routers of a data centre. Requests
 * wait at their routers, which report them to the slot allocator; it grants each free slot to the
 * next request in the fair-queueing order. It holds only soft state: routers report everything
 * again to a new allocator.
 */
public final class SlotAllocatorDecision
    implements Decision<SlotAllocatorEvent, SlotAllocatorEffect> {

  /** Name of the fair-queueing order of the workspaces. */
  private static final String ORDER = "virtual-service";

  /**
   * Maximum cost per weight that reports from elsewhere set a workspace back by if costs never lose
   * weight, in tokens.
   */
  private static final double CATCH_UP_COST = 100_000;

  /** Share of the routers from which on the connected ones are not a minority. */
  private static final double MAJORITY = 0.5;

  /** Time for which disconnected routers are regarded as allocators that this one cannot see. */
  private static final long PEAK_NANOS = 10_000_000_000L;

  /**
   * The same for cold upstreams. They end if several parts of a divided fleet use them in full, so
   * it is longer than a division usually lasts.
   */
  private static final long COLD_PEAK_NANOS = 600_000_000_000L;

  private final PeerIdentity self;
  private final SlotAllocatorPolicy policy;
  private final AllocatorRegions regions;
  private final RecentPeak peakRouters = new RecentPeak(PEAK_NANOS);
  private final RecentPeak coldPeakRouters = new RecentPeak(COLD_PEAK_NANOS);
  private final List<SlotAllocatorEffect> effects = new ArrayList<>();
  private final Map<String, ServiceSlots> services = new TreeMap<>();
  private final Map<String, PeerIdentity> routers = new TreeMap<>();
  private final Set<String> leavingRouters = new HashSet<>();
  private final StartupMessageBuffer startupMessages = new StartupMessageBuffer();
  private final Set<String> ownDataCentres = new HashSet<>();
  private double share = 1;
  private double coldShare = 1;
  private Table table = Table.NONE;
  private InstanceList instances = InstanceList.NONE;
  private long listedNanos;

  /**
   * Creates the decision of an allocator that knows the regions of no data centre.
   *
   * @param self identity of the router that it is part of
   * @param policy settings
   */
  public SlotAllocatorDecision(PeerIdentity self, SlotAllocatorPolicy policy) {
    this(self, policy, DataCentreRegions.NONE);
  }

  /**
   * Creates the decision of an allocator without routers, table or instance list.
   *
   * @param self identity of the router that it is part of
   * @param policy settings
   * @param dataCentres the regions of the data centres
   */
  public SlotAllocatorDecision(
      PeerIdentity self, SlotAllocatorPolicy policy, DataCentreRegions dataCentres) {
    this.regions = new AllocatorRegions(dataCentres);
    this.self = self;
    this.policy = policy;
    routers.put(self.instance(), self);
  }

  @Override
  public List<SlotAllocatorEffect> decide(SlotAllocatorEvent event, long nowNanos) {
    switch (event) {
      case SlotAllocatorEvent.MessageReceived(String router, SlotMessage message) ->
          onMessage(router, message, nowNanos);
      case SlotAllocatorEvent.RouterConnected(PeerIdentity router) -> {
        routers.put(router.instance(), router);
        leavingRouters.remove(router.instance());
        updateUpstreams(nowNanos);
      }
      case SlotAllocatorEvent.RouterLeaving(String router, boolean leaving) -> {
        if (leaving ? leavingRouters.add(router) : leavingRouters.remove(router)) {
          updateUpstreams(nowNanos);
        }
      }
      case SlotAllocatorEvent.RouterDisconnected(PeerIdentity router) ->
          onRouterDisconnected(router, nowNanos);
      case SlotAllocatorEvent.TableActivated(Table newer) -> {
        table = newer;
        regions.activate(newer);
        updateServices(nowNanos);
        updateUpstreams(nowNanos);
        processStartupMessages(nowNanos);
      }
      case SlotAllocatorEvent.InstancesActivated(InstanceList newer) -> {
        Set<String> returned = new HashSet<>(instances.evacuated());
        returned.removeAll(newer.evacuated());
        instances = newer;
        listedNanos = nowNanos;
        updateUpstreams(nowNanos);
        onEvacuationEnded(returned, nowNanos);
        processStartupMessages(nowNanos);
      }
      case SlotAllocatorEvent.Tick() -> {
        // Handled after the switch.
      }
    }
    updateShare(nowNanos);
    grantSlots(event, nowNanos);
    if (event instanceof SlotAllocatorEvent.Tick) {
      services.values().forEach(service -> service.review(nowNanos));
      services.values().forEach(service -> service.decayCosts(nowNanos));
      services.values().stream()
          .filter(this::isAllocatorFor)
          .forEach(
              service -> {
                service.upstreams().reportAvailability(nowNanos);
                sendLoad(service, nowNanos);
                sendCosts(service, nowNanos);
              });
    }
    List<SlotAllocatorEffect> result = List.copyOf(effects);
    effects.clear();
    return result;
  }

  @Override
  public boolean idle() {
    return services.values().stream().allMatch(ServiceSlots::isIdle);
  }

  /** Returns the state of each service, as operators see it. */
  public List<ServiceSlotsStatus> snapshot(long nowNanos) {
    return services.values().stream().map(service -> service.status(nowNanos)).toList();
  }

  /** Returns the number of upstreams in each state whose slots this router allocates. */
  public Map<UpstreamState, Long> upstreamCounts(long nowNanos) {
    return services.values().stream()
        .filter(this::isAllocatorFor)
        .flatMap(service -> service.upstreams().states(nowNanos).stream())
        .collect(Collectors.groupingBy(Function.identity(), Collectors.counting()));
  }

  /** Grants the slots that an event may have made available; a message concerns one service. */
  private void grantSlots(SlotAllocatorEvent event, long nowNanos) {
    if (event instanceof SlotAllocatorEvent.MessageReceived received) {
      ServiceSlots service = services.get(received.message().service());
      if (service != null) {
        service.grantSlots(nowNanos);
      }
    } else {
      services.values().forEach(service -> service.grantSlots(nowNanos));
    }
  }

  private void onMessage(String router, SlotMessage message, long nowNanos) {
    if (!hasTableAndInstances()) {
      startupMessages.add(router, message);
      return;
    }
    ServiceSlots service = services.get(message.service());
    if (service != null && message instanceof SlotMessage.AllocatorCosts costs) {
      Optional.ofNullable(routers.get(router))
          .ifPresent(identity -> service.onCosts(identity, costs, nowNanos));
    } else if (service != null) {
      service.onMessage(router, message, nowNanos);
    } else if (message instanceof SlotMessage.SlotsWanted wanted) {
      rejectAll(router, wanted);
    }
  }

  /** Returns whether a table and an instance list have been activated. */
  private boolean hasTableAndInstances() {
    return table != Table.NONE && instances != InstanceList.NONE;
  }

  private void processStartupMessages(long nowNanos) {
    if (hasTableAndInstances()) {
      startupMessages
          .takeAll()
          .forEach(message -> onMessage(message.router(), message.message(), nowNanos));
    }
  }

  /** Rejects all waiting requests for a service that the active table does not contain. */
  private void rejectAll(String router, SlotMessage.SlotsWanted wanted) {
    for (SlotMessage.WaitingCall call : wanted.waiting()) {
      SlotMessage rejection =
          new SlotMessage.SlotRefused(
              wanted.service(), call.request(), policy.retryAfterMillis(), "");
      effects.add(new SlotAllocatorEffect.Send(router, rejection));
    }
  }

  private void onRouterDisconnected(PeerIdentity router, long nowNanos) {
    if (routers.remove(router.instance(), router)) {
      leavingRouters.remove(router.instance());
      startupMessages.removeRouter(router.instance());
      services.values().forEach(service -> service.removeRouter(router.instance(), nowNanos));
      updateUpstreams(nowNanos);
    }
  }

  /** Returns whether routers use this allocator for a service in its data centre. */
  private boolean isAllocatorFor(ServiceSlots service) {
    return AllocatorSelection.select(service.name(), self.dataCentre(), candidates())
        .filter(self.instance()::equals)
        .isPresent();
  }

  /** Sends the costs incurred in this data centre to the allocators of the other ones. */
  private void sendCosts(ServiceSlots service, long nowNanos) {
    service
        .takeDueCosts(nowNanos)
        .ifPresent(
            message ->
                routers.values().stream()
                    .map(PeerIdentity::dataCentre)
                    .distinct()
                    .filter(dataCentre -> !dataCentre.equals(self.dataCentre()))
                    .flatMap(
                        dataCentre ->
                            AllocatorSelection.select(service.name(), dataCentre, candidates())
                                .stream())
                    .forEach(
                        allocator ->
                            effects.add(new SlotAllocatorEffect.Send(allocator, message))));
  }

  /** Sends the current waiting time of requests to every router. */
  private void sendLoad(ServiceSlots service, long nowNanos) {
    OptionalLong delayMillis = service.takeDueDelayMillis(nowNanos);
    if (delayMillis.isPresent()) {
      SlotMessage load =
          new SlotMessage.AllocatorLoad(
              service.name(),
              self.dataCentre(),
              delayMillis.getAsLong(),
              service.measuredCapacity(nowNanos));
      routers.keySet().forEach(router -> effects.add(new SlotAllocatorEffect.Send(router, load)));
    }
  }

  /**
   * Limits the slots that are granted to the share of connected routers while these are a minority:
   * the majority has selected allocators for the same upstreams.
   */
  private void updateShare(long nowNanos) {
    double newShare = share(peakRouters, nowNanos);
    if (newShare != share) {
      share = newShare;
      services.values().forEach(service -> service.upstreams().setShare(newShare));
    }
    double newColdShare = share(coldPeakRouters, nowNanos);
    if (newColdShare != coldShare) {
      coldShare = newColdShare;
      services.values().forEach(service -> updateColdUpstreams(service, nowNanos));
    }
  }

  private double share(RecentPeak peak, long nowNanos) {
    double connected = routers.size() / (double) peak.update(routers.size(), nowNanos);
    return connected < MAJORITY ? connected : 1;
  }

  private void updateColdUpstreams(ServiceSlots service, long nowNanos) {
    service.upstreams().setColdLimit(isAllocatorFor(service), coldShare, nowNanos);
  }

  /**
   * Treats the upstreams of data centres as cold whose evacuation has ended with the active list.
   */
  private void onEvacuationEnded(Set<String> dataCentres, long nowNanos) {
    services
        .values()
        .forEach(service -> service.upstreams().onEvacuationEnded(dataCentres, nowNanos));
  }

  private void updateServices(long nowNanos) {
    services.keySet().retainAll(table.services().keySet());
    for (ServiceEntry entry : table.services().values()) {
      if (entry.keeping() == SlotAllocationMode.ROUTER) {
        services.computeIfAbsent(entry.name(), name -> newService(entry)).activate(table, nowNanos);
      }
    }
  }

  private ServiceSlots newService(ServiceEntry entry) {
    boolean decays = policy.costWindowMillis() > 0;
    double catchUpCost = decays ? Double.POSITIVE_INFINITY : CATCH_UP_COST;
    return new ServiceSlots(
        entry, policy, new WorkspaceLedger(FairOrder.byName(ORDER), catchUpCost), regions, effects);
  }

  private List<PeerIdentity> candidates() {
    return AllocatorSelection.candidates(routers.values(), leavingRouters);
  }

  /**
   * Returns whether this allocator grants the slots of a data centre. An allocator whose router is
   * about to stop continues until the routers have moved the waiting requests to another one.
   */
  private boolean isResponsibleFor(String dataCentre) {
    return AllocatorSelection.responsibleDataCentre(dataCentre, candidates())
            .equals(self.dataCentre())
        || leavingRouters.contains(self.instance())
            && AllocatorSelection.responsibleDataCentre(dataCentre, routers.values())
                .equals(self.dataCentre());
  }

  private void updateUpstreams(long nowNanos) {
    Map<String, List<Upstream>> byService = new TreeMap<>();
    Map<String, Map<String, Set<UpstreamPlace>>> elsewhere = new TreeMap<>();
    Map<String, Boolean> own = new HashMap<>();
    Map<String, String> responsible = new HashMap<>();
    List<PeerIdentity> candidates = candidates();
    for (Upstream upstream : instances.upstreams()) {
      if (own.computeIfAbsent(upstream.dataCentre(), this::isResponsibleFor)) {
        byService.computeIfAbsent(upstream.service(), name -> new ArrayList<>()).add(upstream);
      } else if (UpstreamAvailability.ofEntry(upstream, instances.isEvacuated(upstream))
          .state(nowNanos)
          .serving()) {
        elsewhere
            .computeIfAbsent(upstream.service(), name -> new HashMap<>())
            .computeIfAbsent(
                responsible.computeIfAbsent(
                    upstream.dataCentre(),
                    name -> AllocatorSelection.responsibleDataCentre(name, candidates)),
                name -> new HashSet<>())
            .add(UpstreamPlace.of(upstream));
      }
    }
    own.values().removeIf(isOwn -> !isOwn);
    Set<String> takenOver = new HashSet<>(own.keySet());
    takenOver.removeAll(ownDataCentres);
    ownDataCentres.clear();
    ownDataCentres.addAll(own.keySet());
    services.forEach(
        (name, service) -> {
          service
              .upstreams()
              .update(
                  byService.getOrDefault(name, List.of()),
                  instances.evacuated(),
                  listedNanos,
                  takenOver,
                  nowNanos);
          updateColdUpstreams(service, nowNanos);
          service.setOtherDataCentres(elsewhere.getOrDefault(name, Map.of()));
          service.upstreams().setShare(share);
        });
  }
}
