package dev.agatepier.wire.request;

import dev.agatepier.core.request.CallHead;
import dev.agatepier.core.request.CallPlan;
import dev.agatepier.core.request.PromptMetadata;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * What is known of a call whose head passed every check.
 *
 * @param label name that the caller gave to its request, for answers and logs
 * @param workspace workspace that the caller belongs to
 * @param service service that the call goes to
 * @param head head of the request for the upstream
 * @param plan what operators want for the call
 * @param prompt what the caller says about a model request
 * @param resumeAfter number of the last event of a broken stream that the caller goes on with
 * @param deadlineNanos reading of the process's clock at which the caller gives up
 */
public record AcceptedCall(
    String label,
    String workspace,
    String service,
    CallHead head,
    CallPlan plan,
    Optional<PromptMetadata> prompt,
    OptionalLong resumeAfter,
    long deadlineNanos) {

  /** Checks that every part is present. */
  public AcceptedCall {
    Objects.requireNonNull(label, "label");
    Objects.requireNonNull(workspace, "workspace");
    Objects.requireNonNull(service, "service");
    Objects.requireNonNull(head, "head");
    Objects.requireNonNull(plan, "plan");
    Objects.requireNonNull(prompt, "prompt");
    Objects.requireNonNull(resumeAfter, "resumeAfter");
  }
}
