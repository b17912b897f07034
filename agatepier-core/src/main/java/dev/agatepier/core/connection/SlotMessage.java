package dev.agatepier.core.connection;

import dev.agatepier.core.request.PromptMetadata;
import dev.agatepier.core.request.RequestId;
import dev.agatepier.core.version.AllowedRegions;
import java.util.List;
import java.util.Optional;

/**
 * Messages between routers and the slot allocator, the router that grants the slots of a service's
 * upstreams in one data centre.
 */
public sealed interface SlotMessage extends LinkMessage {

  /** Returns the service that the message belongs to. */
  String service();

  /**
   * A request that waits for a slot.
   *
   * @param request identity of the request
   * @param workspace workspace of the caller
   * @param avoidedUpstream upstream on which the previous attempt failed; empty for none
   * @param objectiveMillis time until the response should start, in milliseconds; negative if it is
   *     overdue
   * @param timeLeftMillis time until the request times out, in milliseconds
   * @param repeatable whether the request may run more than once
   * @param underserved whether requests of its size have got slots less often than others of the
   *     same kind, so that its own work does not count against its objective
   * @param prompt metadata of the prompt of a model request; empty for other requests
   * @param route name of the route; empty if unknown
   * @param allowedRegions regions in which the request may be processed, by the route and by the
   *     workspace
   */
  record WaitingCall(
      RequestId request,
      String workspace,
      String avoidedUpstream,
      long objectiveMillis,
      long timeLeftMillis,
      boolean repeatable,
      boolean underserved,
      Optional<PromptMetadata> prompt,
      String route,
      AllowedRegions allowedRegions) {

    /** Creates a request that every region may process. */
    public WaitingCall(
        RequestId request,
        String workspace,
        String avoidedUpstream,
        long objectiveMillis,
        long timeLeftMillis,
        boolean repeatable,
        boolean underserved,
        Optional<PromptMetadata> prompt) {
      this(
          request,
          workspace,
          avoidedUpstream,
          objectiveMillis,
          timeLeftMillis,
          repeatable,
          underserved,
          prompt,
          "",
          AllowedRegions.ALL);
    }
  }

  /**
   * A request that holds a slot.
   *
   * @param call the request as it was sent while it waited
   * @param upstream name of the upstream on which it runs
   * @param responseStarted whether its response has started
   */
  record HeldSlot(WaitingCall call, String upstream, boolean responseStarted) {}

  /**
   * Router to slot allocator: requests that wait for a slot.
   *
   * @param service service called
   * @param complete whether the message lists all requests of the router, so that the allocator
   *     drops any other
   * @param waiting requests that start to wait
   * @param held requests that hold a slot; empty unless the message is complete
   * @param tableVersion version of the table from which the router took the allowed regions; 0 if
   *     unknown
   */
  record SlotsWanted(
      String service,
      boolean complete,
      List<WaitingCall> waiting,
      List<HeldSlot> held,
      long tableVersion)
      implements SlotMessage {

    /** Creates a message with allowed regions of an unknown table version. */
    public SlotsWanted(
        String service, boolean complete, List<WaitingCall> waiting, List<HeldSlot> held) {
      this(service, complete, waiting, held, 0);
    }

    /** Copies the lists. */
    public SlotsWanted {
      waiting = List.copyOf(waiting);
      held = List.copyOf(held);
    }
  }

  /** State change of a request that waited for a slot or held one. The codec writes the ordinal. */
  enum SlotStage {
    /** The router withdrew the request before it had a slot. */
    WITHDRAWN,
    /** The router does not use the granted slot. */
    DECLINED,
    /** The upstream rejected the request before running it. */
    REJECTED,
    /** The response has started. */
    RESPONSE_STARTED,
    /** The request ended with a complete response. */
    COMPLETED,
    /** The request was cancelled by the caller or by its deadline. */
    CANCELLED,
    /** The request ended because of an upstream failure. */
    FAILED
  }

  /**
   * State change of one request.
   *
   * @param request identity of the request
   * @param upstream upstream of its slot; empty if it had none
   * @param stage the new state
   * @param amount tokens of the response for a model request; otherwise the time for which the slot
   *     was held, in milliseconds
   */
  record SlotChange(RequestId request, String upstream, SlotStage stage, long amount) {}

  /**
   * Router to slot allocator: state changes of the router's requests.
   *
   * @param service service called
   * @param changes the changes, in the order in which they happened
   */
  record SlotsChanged(String service, List<SlotChange> changes) implements SlotMessage {
    /** Copies the changes. */
    public SlotsChanged {
      changes = List.copyOf(changes);
    }
  }

  /**
   * Slot allocator to router: grants a slot to a request.
   *
   * @param service service called
   * @param request identity of the request
   * @param upstream upstream of the granted slot
   */
  record SlotGranted(String service, RequestId request, String upstream) implements SlotMessage {}

  /**
   * Slot allocator to router: rejects a request because no slot will be free in time.
   *
   * @param service service called
   * @param request identity of the request
   * @param retryAfterMillis estimated time until a slot is free, in milliseconds
   * @param alternative data centre that probably has a slot in time; empty for none
   */
  record SlotRefused(String service, RequestId request, long retryAfterMillis, String alternative)
      implements SlotMessage {}

  /**
   * Slot allocator to routers: the expected waiting time for a slot.
   *
   * @param service service called
   * @param dataCentre data centre whose slots the sender allocates
   * @param delayMillis expected time until a request that arrives now is granted a slot, in
   *     milliseconds
   */
  record AllocatorLoad(String service, String dataCentre, long delayMillis)
      implements SlotMessage {}

  /**
   * Slot allocator to the allocators of other data centres: the costs of workspaces in its own data
   * centre, and which workspaces get slots there in time.
   *
   * @param service service called
   * @param servedBelow virtual service below which workspaces get slots in time; {@link
   *     #ALL_SERVED} if all do
   * @param costs costs of the listed workspaces, decayed since they were incurred, in cost units of
   *     the service
   */
  record AllocatorCosts(String service, double servedBelow, List<LinkMessage.WorkspaceCost> costs)
      implements SlotMessage {

    /** Virtual service that no workspace reaches. */
    public static final double ALL_SERVED = Double.MAX_VALUE;

    /** Copies the costs. */
    public AllocatorCosts {
      costs = List.copyOf(costs);
    }
  }

  /**
   * Slot allocator to router: the upstream makes no progress, so the router should move the request
   * to another upstream if it may run more than once.
   *
   * @param service service called
   * @param request identity of the request to move
   * @param upstream the upstream without progress
   */
  record SlotRecalled(String service, RequestId request, String upstream) implements SlotMessage {}
}
