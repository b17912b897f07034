package dev.agatepier.core.process;

import dev.agatepier.core.connection.SlotMessage;
import dev.agatepier.core.request.RequestId;

/** Effects of the slot allocator. */
public sealed interface SlotAllocatorEffect {

  /**
   * Send a message to a router, which may be the allocator's own.
   *
   * @param router instance name of the router
   * @param message the message
   */
  record Send(String router, SlotMessage message) implements SlotAllocatorEffect {}

  /**
   * Log that a slot was granted.
   *
   * @param service the called service
   * @param request the request
   * @param position where its workspace stood in the fair order before the grant
   * @param cost expected cost of the request, in cost units
   * @param upstream name of the upstream
   * @param waitedMillis time for which the request waited at this allocator, in milliseconds
   * @param backlogMillis expected waiting time at the upstream, in milliseconds
   * @param ownMillis expected duration of the request's own prefill, or of all its work for a plain
   *     service, in milliseconds
   * @param unreadTokens pending prefill: prompt tokens that the upstream is not expected to have in
   *     its prefix cache
   * @param sharedUnreadTokens those of the pending prefill tokens that other requests share
   * @param sharedTokens prompt tokens that other requests share
   * @param repeatedSharedTokens those of the pending prefill tokens in parts that other requests of
   *     this allocator have used during the last seconds
   * @param leastUnreadTokens minimum of the pending prefill tokens over all upstreams
   * @param underserved whether requests of its size have got slots less often than others
   */
  record Placed(
      String service,
      RequestId request,
      FairPosition position,
      double cost,
      String upstream,
      long waitedMillis,
      long backlogMillis,
      long ownMillis,
      int unreadTokens,
      int sharedUnreadTokens,
      int sharedTokens,
      int repeatedSharedTokens,
      int leastUnreadTokens,
      boolean underserved)
      implements SlotAllocatorEffect {}

  /**
   * Log that the load of a shared prompt prefix needs another number of upstreams as its homes.
   *
   * @param service the called service
   * @param prefix identity of the prefix
   * @param homes number of homes in this allocator's data centre
   * @param previous the number before
   */
  record PrefixHomesChanged(String service, String prefix, int homes, int previous)
      implements SlotAllocatorEffect {}

  /**
   * Log that a request was rejected without a slot.
   *
   * @param service the called service
   * @param request the request
   * @param position where its workspace stands in the fair order
   * @param waitedMillis time for which the request waited at this allocator, in milliseconds
   * @param slackMillis time left until the response should start, in milliseconds
   * @param expectedMillis expected time until the response would start, in milliseconds
   * @param ownMillis the part of it that is the request's own work at the best upstream
   * @param upstreamsWithCapacity number of usable upstreams with a free slot and enough memory
   * @param underserved whether requests of its size have got slots less often than others
   * @param callerReturn whether its caller was rejected here before, and has kept to its retry time
   * @param retryAfterMillis time after which its caller is advised to come back, in milliseconds
   */
  record Rejected(
      String service,
      RequestId request,
      FairPosition position,
      long waitedMillis,
      long slackMillis,
      long expectedMillis,
      long ownMillis,
      int upstreamsWithCapacity,
      boolean underserved,
      CallerReturn callerReturn,
      long retryAfterMillis)
      implements SlotAllocatorEffect {}

  /**
   * Log that the state of an upstream has changed.
   *
   * @param service service that it serves
   * @param upstream name of the upstream
   * @param dataCentre data centre of the upstream
   * @param state the new state
   * @param previous the state before
   */
  record UpstreamAvailabilityChanged(
      String service,
      String upstream,
      String dataCentre,
      UpstreamState state,
      UpstreamState previous)
      implements SlotAllocatorEffect {}

  /**
   * Report the grants to cold upstreams.
   *
   * @param service the service
   * @param most grants of the last second to the cold upstream that got most
   * @param bound requests that a cold upstream may get in any second, from all routers together
   */
  record ColdGrants(String service, int most, int bound) implements SlotAllocatorEffect {}

  /**
   * Record how well the start of a response was predicted.
   *
   * @param service the called service
   * @param expectedMillis time from the grant to the start that was expected at the grant, in
   *     milliseconds
   * @param observedMillis the time that it took
   */
  record StartPredicted(String service, long expectedMillis, long observedMillis)
      implements SlotAllocatorEffect {}

  /**
   * Log that an upstream became usable or unusable.
   *
   * @param upstream name of the upstream
   * @param usable whether its slots are granted
   * @param reason reason of the change
   * @param sinceMillis time for which the reason has applied, in milliseconds
   */
  record UpstreamUsabilityChanged(String upstream, boolean usable, String reason, long sinceMillis)
      implements SlotAllocatorEffect {}
}
