package dev.agatepier.core.process;

import dev.agatepier.core.connection.LinkMessage.WorkspaceCost;
import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.connection.SlotMessage;
import dev.agatepier.core.process.internal.AllocatorSelection;
import dev.agatepier.core.process.internal.FairOrder;
import dev.agatepier.core.process.internal.ServiceSlots;
import dev.agatepier.core.process.internal.ServiceSlotsStatus;
import dev.agatepier.core.process.internal.StartupMessageBuffer;
import dev.agatepier.core.process.internal.WorkspaceLedger;
import dev.agatepier.core.version.InstanceList;
import dev.agatepier.core.version.ServiceEntry;
import dev.agatepier.core.version.SlotAllocationMode;
import dev.agatepier.core.version.Table;
import dev.agatepier.core.version.Upstream;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;

/**
 * Keeps the slots of upstreams that have no sidecar, for the routers of a data centre. Requests
 * wait at their routers, which tell the keeper of them; it grants each free slot to the request
 * that should have it next. All it knows is soft: a new keeper is told everything anew.
 */
public final class SlotAllocatorDecision
    implements Decision<SlotAllocatorEvent, SlotAllocatorEffect> {

  /** Order in which workspaces get slots. */
  private static final String ORDER = "virtual-service";

  /** Most cost per weight by which a report from elsewhere sets a workspace back, in tokens. */
  private static final double CATCH_UP_COST = 100_000;

  private final PeerIdentity self;
  private final SlotAllocatorPolicy policy;
  private final List<SlotAllocatorEffect> effects = new ArrayList<>();
  private final Map<String, ServiceSlots> services = new TreeMap<>();
  private final Map<String, PeerIdentity> routers = new TreeMap<>();
  private final Set<String> leaving = new HashSet<>();
  private final StartupMessageBuffer early = new StartupMessageBuffer();
  private Table table = Table.NONE;
  private InstanceList instances = InstanceList.NONE;

  /**
   * Creates the decision of a keeper that knows nothing yet.
   *
   * @param self the router that the keeper belongs to
   * @param policy what operators have set
   */
  public SlotAllocatorDecision(PeerIdentity self, SlotAllocatorPolicy policy) {
    this.self = self;
    this.policy = policy;
    routers.put(self.instance(), self);
  }

  @Override
  public List<SlotAllocatorEffect> decide(SlotAllocatorEvent event, long nowNanos) {
    switch (event) {
      case SlotAllocatorEvent.MessageArrived(String router, SlotMessage message) ->
          arrived(router, message, nowNanos);
      case SlotAllocatorEvent.RouterConnected(PeerIdentity router) -> {
        routers.put(router.instance(), router);
        leaving.remove(router.instance());
        listUpstreams(nowNanos);
      }
      case SlotAllocatorEvent.RouterLeaving(String router, boolean leaves) -> {
        if (leaves ? leaving.add(router) : leaving.remove(router)) {
          listUpstreams(nowNanos);
        }
      }
      case SlotAllocatorEvent.RouterDisconnected(PeerIdentity router) ->
          routerGone(router, nowNanos);
      case SlotAllocatorEvent.TableActivated(Table newer) -> {
        table = newer;
        listServices();
        listUpstreams(nowNanos);
        takeEarly(nowNanos);
      }
      case SlotAllocatorEvent.InstancesActivated(InstanceList newer) -> {
        instances = newer;
        listUpstreams(nowNanos);
        takeEarly(nowNanos);
      }
      case SlotAllocatorEvent.TimePassed() -> {
        // Every event lets time pass.
      }
    }
    services.values().forEach(service -> service.advance(nowNanos));
    if (event instanceof SlotAllocatorEvent.TimePassed) {
      services.values().forEach(service -> service.decayCosts(nowNanos));
      services.values().stream()
          .filter(this::keeps)
          .forEach(
              service -> {
                tellLoad(service, nowNanos);
                tellCosts(service, nowNanos);
              });
    }
    List<SlotAllocatorEffect> taken = List.copyOf(effects);
    effects.clear();
    return taken;
  }

  @Override
  public boolean idle() {
    return services.values().stream().allMatch(ServiceSlots::isIdle);
  }

  /** Returns what operators are told about each service. */
  public List<ServiceSlotsStatus> snapshot(long nowNanos) {
    return services.values().stream().map(service -> service.status(nowNanos)).toList();
  }

  private void arrived(String router, SlotMessage message, long nowNanos) {
    if (!ready()) {
      early.add(router, message);
      return;
    }
    ServiceSlots service = services.get(message.service());
    if (service != null) {
      service.onMessage(router, message, nowNanos);
    } else if (message instanceof SlotMessage.SlotsWanted wanted) {
      refuseAll(router, wanted);
    }
  }

  /** Returns whether there is something to decide by: both lists have been in force. */
  private boolean ready() {
    return table != Table.NONE && instances != InstanceList.NONE;
  }

  private void takeEarly(long nowNanos) {
    if (ready()) {
      early.takeAll().forEach(message -> arrived(message.router(), message.message(), nowNanos));
    }
  }

  /** Refuses what waits for a service that the table in force doesn't have. */
  private void refuseAll(String router, SlotMessage.SlotsWanted wanted) {
    for (SlotMessage.WaitingCall call : wanted.waiting()) {
      SlotMessage refusal =
          new SlotMessage.SlotRefused(wanted.service(), call.request(), policy.retryAfterMillis());
      effects.add(new SlotAllocatorEffect.Send(router, refusal));
    }
  }

  private void routerGone(PeerIdentity router, long nowNanos) {
    if (routers.remove(router.instance(), router)) {
      leaving.remove(router.instance());
      early.removeRouter(router.instance());
      services.values().forEach(service -> service.removeRouter(router.instance(), nowNanos));
      listUpstreams(nowNanos);
    }
  }

  /** Returns whether this is the keeper that routers ask for a service in its data centre. */
  private boolean keeps(ServiceSlots service) {
    return AllocatorSelection.select(service.name(), self.dataCentre(), candidates())
        .filter(self.instance()::equals)
        .isPresent();
  }

  /** Tells the keepers of other data centres what workspaces cost here. */
  private void tellCosts(ServiceSlots service, long nowNanos) {
    List<WorkspaceCost> costs = service.takeDueCosts(nowNanos);
    if (costs.isEmpty()) {
      return;
    }
    SlotMessage message = new SlotMessage.AllocatorCosts(service.name(), costs);
    routers.values().stream()
        .map(PeerIdentity::dataCentre)
        .distinct()
        .filter(dataCentre -> !dataCentre.equals(self.dataCentre()))
        .forEach(
            dataCentre ->
                AllocatorSelection.select(service.name(), dataCentre, candidates())
                    .ifPresent(
                        keeper -> effects.add(new SlotAllocatorEffect.Send(keeper, message))));
  }

  /** Tells every router how long a request waits. */
  private void tellLoad(ServiceSlots service, long nowNanos) {
    OptionalLong delayMillis = service.takeDueDelayMillis(nowNanos);
    if (delayMillis.isPresent()) {
      SlotMessage load =
          new SlotMessage.AllocatorLoad(service.name(), self.dataCentre(), delayMillis.getAsLong());
      routers.keySet().forEach(router -> effects.add(new SlotAllocatorEffect.Send(router, load)));
    }
  }

  private void listServices() {
    services.keySet().retainAll(table.services().keySet());
    for (ServiceEntry entry : table.services().values()) {
      if (entry.keeping() == SlotAllocationMode.ROUTER) {
        services.computeIfAbsent(entry.name(), name -> newService(entry)).activate(table);
      }
    }
  }

  private ServiceSlots newService(ServiceEntry entry) {
    return new ServiceSlots(
        entry, policy, new WorkspaceLedger(FairOrder.named(ORDER), CATCH_UP_COST), effects);
  }

  private List<PeerIdentity> candidates() {
    return AllocatorSelection.candidates(routers.values(), leaving);
  }

  /**
   * Returns whether this keeper grants slots of a data centre. One that is about to stop goes on
   * until the routers have moved what waits here.
   */
  private boolean looksAfter(String dataCentre) {
    return AllocatorSelection.responsibleDataCentre(dataCentre, candidates())
            .equals(self.dataCentre())
        || leaving.contains(self.instance())
            && AllocatorSelection.responsibleDataCentre(dataCentre, routers.values())
                .equals(self.dataCentre());
  }

  private void listUpstreams(long nowNanos) {
    Map<String, List<Upstream>> byService = new TreeMap<>();
    for (Upstream upstream : instances.upstreams()) {
      if (looksAfter(upstream.dataCentre())) {
        byService.computeIfAbsent(upstream.service(), name -> new ArrayList<>()).add(upstream);
      }
    }
    services.forEach(
        (name, service) ->
            service.updateUpstreams(byService.getOrDefault(name, List.of()), nowNanos));
  }
}
