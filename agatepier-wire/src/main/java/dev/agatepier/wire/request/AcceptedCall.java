package dev.agatepier.wire.request;

import dev.agatepier.core.request.CallHead;
import dev.agatepier.core.request.CallLabels;
import dev.agatepier.core.request.CallPlan;
import dev.agatepier.core.request.PromptMetadata;
import dev.agatepier.core.version.AllowedRegions;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * A call whose head has been validated.
 *
 * @param label label that the caller gave to its request, for responses and logs
 * @param workspace name of the workspace that the caller belongs to
 * @param service name of the service that is called
 * @param head head of the request that is sent to the upstream
 * @param plan how operators have configured the call to be handled
 * @param prompt metadata that the caller sent with a model request
 * @param resumeAfter number of the last event that the caller received of an interrupted stream
 *     that it resumes
 * @param resumedLabel label of the caller's call that brought the first event of that stream
 * @param deadlineNanos deadline of the call, in nanoseconds of the process's monotonic clock
 * @param allowedRegions regions in which the matched route and the workspace allow the call to be
 *     processed
 */
public record AcceptedCall(
    String label,
    String workspace,
    String service,
    CallHead head,
    CallPlan plan,
    Optional<PromptMetadata> prompt,
    OptionalLong resumeAfter,
    Optional<String> resumedLabel,
    long deadlineNanos,
    AllowedRegions allowedRegions) {

  /** Creates a call that every region may process and that resumes no stream. */
  public AcceptedCall(
      String label,
      String workspace,
      String service,
      CallHead head,
      CallPlan plan,
      Optional<PromptMetadata> prompt,
      long deadlineNanos) {
    this(
        label,
        workspace,
        service,
        head,
        plan,
        prompt,
        OptionalLong.empty(),
        Optional.empty(),
        deadlineNanos,
        AllowedRegions.ALL);
  }

  /** Checks that no component is null. */
  public AcceptedCall {
    Objects.requireNonNull(label, "label");
    Objects.requireNonNull(workspace, "workspace");
    Objects.requireNonNull(service, "service");
    Objects.requireNonNull(head, "head");
    Objects.requireNonNull(plan, "plan");
    Objects.requireNonNull(prompt, "prompt");
    Objects.requireNonNull(resumeAfter, "resumeAfter");
    Objects.requireNonNull(resumedLabel, "resumedLabel");
    Objects.requireNonNull(allowedRegions, "allowedRegions");
  }

  /** Returns the labels by which the caller refers to its calls. */
  public CallLabels labels() {
    return new CallLabels(label, resumedLabel);
  }
}
