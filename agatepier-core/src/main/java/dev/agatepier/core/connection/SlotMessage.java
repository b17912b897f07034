package dev.agatepier.core.connection;

import dev.agatepier.core.request.PromptMetadata;
import dev.agatepier.core.request.RequestId;
import dev.agatepier.core.request.UpstreamLoadReport;
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
   * @param callerAgeMillis time since the caller first sent the request, before it came to this
   *     router, in milliseconds; 0 unless it was probably rejected before
   * @param prompt metadata of the prompt of a model request; empty for other requests
   * @param route name of the route; empty if unknown
   * @param allowedRegions regions in which the request may be processed, by the route and by the
   *     workspace
   * @param softwareVersion software version that an upstream must have to run the request; empty if
   *     any may
   */
  record WaitingCall(
      RequestId request,
      String workspace,
      String avoidedUpstream,
      long objectiveMillis,
      long timeLeftMillis,
      boolean repeatable,
      boolean underserved,
      long callerAgeMillis,
      Optional<PromptMetadata> prompt,
      String route,
      AllowedRegions allowedRegions,
      String softwareVersion) {

    /** Creates a request that upstreams of every software version may run. */
    public WaitingCall(
        RequestId request,
        String workspace,
        String avoidedUpstream,
        long objectiveMillis,
        long timeLeftMillis,
        boolean repeatable,
        boolean underserved,
        long callerAgeMillis,
        Optional<PromptMetadata> prompt,
        String route,
        AllowedRegions allowedRegions) {
      this(
          request,
          workspace,
          avoidedUpstream,
          objectiveMillis,
          timeLeftMillis,
          repeatable,
          underserved,
          callerAgeMillis,
          prompt,
          route,
          allowedRegions,
          "");
    }

    /** Creates a new request that every upstream may run. */
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
          0,
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
    FAILED,
    /** The request ended because the connection to the upstream failed. */
    DISCONNECTED,
    /** The request was not sent, as the upstream said that it is not the listed process. */
    REPLACED
  }

  /**
   * State change of one request.
   *
   * @param request identity of the request
   * @param upstream upstream of its slot; empty if it had none
   * @param stage the new state
   * @param amount tokens of the response for a model request; otherwise the time for which the slot
   *     was held, in milliseconds
   * @param longestGapMillis longest time between two parts of a complete response, in milliseconds;
   *     0 if it has fewer than two or comes from several attempts
   * @param load load that the upstream has stated since the previous change; empty if it has not
   */
  record SlotChange(
      RequestId request,
      String upstream,
      SlotStage stage,
      long amount,
      long longestGapMillis,
      Optional<ReceivedLoad> load) {

    /** Creates a change without a statement of load. */
    public SlotChange(RequestId request, String upstream, SlotStage stage, long amount) {
      this(request, upstream, stage, amount, 0, Optional.empty());
    }
  }

  /**
   * Load that an upstream stated in a response.
   *
   * @param report the load
   * @param ageMillis time for which the router has had it, in milliseconds
   */
  record ReceivedLoad(UpstreamLoadReport report, long ageMillis) {}

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
   * @param cold whether the grant is void once it is late, as the upstream is cold
   * @param waitedMillis time for which the request waited at the allocator, in milliseconds
   * @param timeLeftMillis {@link WaitingCall#timeLeftMillis} of the report that is replied to,
   *     which identifies that report
   * @param softwareVersion software version of the upstream; empty if a process of another version
   *     may have started there
   */
  record SlotGranted(
      String service,
      RequestId request,
      String upstream,
      boolean cold,
      long waitedMillis,
      long timeLeftMillis,
      String softwareVersion)
      implements SlotMessage {

    /** Creates a grant for an upstream that is not cold and whose version is unknown. */
    public SlotGranted(String service, RequestId request, String upstream) {
      this(service, request, upstream, false, 0, 0, "");
    }
  }

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
   * @param capacity what the upstreams of the data centre can do, as measured; empty if no estimate
   *     of their load counts
   */
  record AllocatorLoad(
      String service, String dataCentre, long delayMillis, Optional<MeasuredCapacity> capacity)
      implements SlotMessage {

    /** Creates a report without a measured capacity. */
    public AllocatorLoad(String service, String dataCentre, long delayMillis) {
      this(service, dataCentre, delayMillis, Optional.empty());
    }
  }

  /**
   * Measured capacity of the upstreams of a service in one data centre.
   *
   * @param parallelRequests requests that they process beside each other without slowdown
   * @param requestMillis expected time of a request, without that for its prompt tokens, in
   *     milliseconds
   * @param tokenMillis expected time for each prompt token to prefill, in milliseconds; 0 for plain
   *     services
   */
  record MeasuredCapacity(double parallelRequests, double requestMillis, double tokenMillis) {

    /** Rejects numbers that are negative or not finite. */
    public MeasuredCapacity {
      if (!(parallelRequests >= 0 && requestMillis >= 0 && tokenMillis >= 0)
          || Double.isInfinite(parallelRequests + requestMillis + tokenMillis)) {
        throw new IllegalArgumentException(
            "parallelRequests "
                + parallelRequests
                + ", requestMillis "
                + requestMillis
                + " or tokenMillis "
                + tokenMillis
                + " is negative or not finite");
      }
    }

    /** Returns by how much a request with some tokens to prefill lengthens the delay. */
    public double addedMillis(int tokens) {
      return (requestMillis + tokenMillis * tokens) / Math.max(1, parallelRequests);
    }
  }

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
   * Router to slot allocator: an upstream has said in a response that it wants no new requests.
   *
   * @param service service of the upstream
   * @param upstream name of the upstream
   * @param incarnation incarnation that said so; 0 if the upstream does not report one
   * @param leaving whether it is leaving: nobody gets its slots any more
   * @param pauseMillis time for which this router does not send to it, in milliseconds; 0 for none
   */
  record UpstreamUnavailable(
      String service, String upstream, long incarnation, boolean leaving, long pauseMillis)
      implements SlotMessage {}

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
