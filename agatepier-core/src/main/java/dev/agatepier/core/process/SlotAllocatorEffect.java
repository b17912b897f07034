package dev.agatepier.core.process;

import dev.agatepier.core.connection.SlotMessage;
import dev.agatepier.core.request.RequestId;

/** Everything that a slot keeper asks for. */
public sealed interface SlotAllocatorEffect {

  /**
   * Send a message to a router, which may be the keeper's own.
   *
   * @param router instance name of the router
   * @param message the message
   */
  record Send(String router, SlotMessage message) implements SlotAllocatorEffect {}

  /**
   * A slot was granted; for logs.
   *
   * @param service service called
   * @param request the request
   * @param upstream name of the upstream
   * @param waitedMillis how long the request waited here, in milliseconds
   * @param backlogMillis expected wait at the upstream, in milliseconds
   * @param ownMillis expected time of its own reading, or of its whole work, in milliseconds
   * @param unreadTokens tokens of its prompt that the upstream is expected to read
   * @param sharedUnreadTokens those of them that other requests share
   * @param leastUnreadTokens tokens that the best of all upstreams would have read
   */
  record Placed(
      String service,
      RequestId request,
      String upstream,
      long waitedMillis,
      long backlogMillis,
      long ownMillis,
      int unreadTokens,
      int sharedUnreadTokens,
      int leastUnreadTokens)
      implements SlotAllocatorEffect {}

  /**
   * A request got no slot; for logs.
   *
   * @param service service called
   * @param request the request
   * @param waitedMillis how long the request waited here, in milliseconds
   * @param slackMillis time until its answer should begin, in milliseconds
   * @param expectedMillis expected time until its answer would begin, in milliseconds
   */
  record Rejected(
      String service, RequestId request, long waitedMillis, long slackMillis, long expectedMillis)
      implements SlotAllocatorEffect {}

  /**
   * An upstream is taken out of use or back into it; for logs.
   *
   * @param upstream name of the upstream
   * @param usable whether slots of it are granted from now on
   * @param reason why
   * @param sinceMillis how long the reason has held, in milliseconds
   */
  record UpstreamUsabilityChanged(String upstream, boolean usable, String reason, long sinceMillis)
      implements SlotAllocatorEffect {}
}
