package dev.agatepier.core.connection;

import dev.agatepier.core.request.PromptMetadata;
import dev.agatepier.core.request.RequestId;
import java.util.List;
import java.util.Optional;

/** Messages between routers and the router that keeps the slots of a service's upstreams. */
public sealed interface SlotMessage extends LinkMessage {

  /** Returns the service whose slots the message is about. */
  String service();

  /**
   * One request that waits for a slot.
   *
   * @param request name of the request
   * @param workspace workspace of the caller
   * @param avoidedUpstream upstream that has just failed the request; empty for none
   * @param objectiveMillis time until the answer should begin, in milliseconds; negative when past
   * @param timeLeftMillis time until the request is given up, in milliseconds
   * @param repeatable whether the request may run more than once
   * @param prompt what is known of its prompt, for a model request
   */
  record WaitingCall(
      RequestId request,
      String workspace,
      String avoidedUpstream,
      long objectiveMillis,
      long timeLeftMillis,
      boolean repeatable,
      Optional<PromptMetadata> prompt) {}

  /**
   * One request that holds a slot.
   *
   * @param call the request as it waited
   * @param upstream name of the upstream it runs on
   * @param responseStarted whether its answer has begun
   */
  record HeldSlot(WaitingCall call, String upstream, boolean responseStarted) {}

  /**
   * Router to slot keeper: requests that want a slot.
   *
   * @param service service called
   * @param complete whether this is everything that the router has, so that all else is forgotten
   * @param waiting requests that wait from now on
   * @param held requests that hold a slot; only in complete messages
   */
  record SlotsWanted(
      String service, boolean complete, List<WaitingCall> waiting, List<HeldSlot> held)
      implements SlotMessage {
    /** Copies the lists. */
    public SlotsWanted {
      waiting = List.copyOf(waiting);
      held = List.copyOf(held);
    }
  }

  /** What became of a request that waited or held a slot. */
  enum SlotStage {
    /** It waits no longer. */
    WITHDRAWN,
    /** The slot that was granted to it is not used. */
    DECLINED,
    /** The upstream turned it down before it ran. */
    REJECTED,
    /** Its answer has begun. */
    RESPONSE_STARTED,
    /** It ended, its answer whole. */
    COMPLETED,
    /** It ended at the caller's will or by its deadline. */
    CANCELLED,
    /** It ended by a fault of the upstream. */
    FAILED
  }

  /**
   * One change of a request.
   *
   * @param request name of the request
   * @param upstream upstream of its slot; empty while it waited
   * @param stage what became of it
   * @param amount tokens of the answer for a model request, otherwise milliseconds of the slot
   */
  record SlotChange(RequestId request, String upstream, SlotStage stage, long amount) {}

  /**
   * Router to slot keeper: what became of its requests.
   *
   * @param service service called
   * @param changes the changes in order
   */
  record SlotsChanged(String service, List<SlotChange> changes) implements SlotMessage {
    /** Copies the changes. */
    public SlotsChanged {
      changes = List.copyOf(changes);
    }
  }

  /**
   * Slot keeper to router: a request may run.
   *
   * @param service service called
   * @param request name of the request
   * @param upstream upstream whose slot it gets
   */
  record SlotGranted(String service, RequestId request, String upstream) implements SlotMessage {}

  /**
   * Slot keeper to router: a request gets no slot in time.
   *
   * @param service service called
   * @param request name of the request
   * @param retryAfterMillis when a slot is likely to be free, in milliseconds
   */
  record SlotRefused(String service, RequestId request, long retryAfterMillis)
      implements SlotMessage {}

  /**
   * Slot keeper to routers: how long a request would wait for a slot.
   *
   * @param service service called
   * @param dataCentre data centre whose slots the sender keeps
   * @param delayMillis expected time until a request that asks now has its slot, in milliseconds
   */
  record AllocatorLoad(String service, String dataCentre, long delayMillis)
      implements SlotMessage {}

  /**
   * Slot keeper to the keepers of other data centres: what workspaces cost in its own.
   *
   * @param service service called
   * @param costs cumulative costs of the workspaces named, in cost units of the service
   */
  record AllocatorCosts(String service, List<LinkMessage.WorkspaceCost> costs)
      implements SlotMessage {
    /** Copies the costs. */
    public AllocatorCosts {
      costs = List.copyOf(costs);
    }
  }

  /**
   * Slot keeper to router: an upstream makes no progress; what may run twice should move.
   *
   * @param service service called
   * @param request name of the request that should move
   * @param upstream the upstream
   */
  record SlotRecalled(String service, RequestId request, String upstream) implements SlotMessage {}
}
