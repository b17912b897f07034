package dev.agatepier.wire.process;

import org.apache.logging.log4j.message.StringMapMessage;

/** Log events; the field {@code event} of a log line carries the stable code. */
public enum LogEvent {
  PROCESS_STARTED("process-started"),
  START_FAILED("start-failed"),
  STOP_BEGUN("stop-begun"),
  STOP_DONE("stop-done"),
  STOP_TIMEOUT("stop-timeout"),
  STOP_FAILED("stop-failed"),
  REQUEST_CUT("request-cut"),
  OVERLOAD_BEGUN("overload-begun"),
  OVERLOAD_ENDED("overload-ended"),
  CALLER_LIMITS("caller-limits"),
  CALLER_LIMIT_REACHED("caller-limit-reached"),
  CALLER_LIMIT_PASSED("caller-limit-passed"),
  REQUEST_ADMITTED("request-admitted"),
  REQUEST_END("request-end"),
  SLOT_GRANTED("slot-granted"),
  SLOT_REFUSED("slot-refused"),
  ATTEMPT_STARTED("attempt-started"),
  ATTEMPT_ENDED("attempt-ended"),
  ANSWER_UNSOUND("answer-unsound"),
  STREAM_CONTINUED("stream-continued"),
  STREAM_RESUMED("stream-resumed"),
  STREAM_RESUMPTION_REJECTED("stream-resumption-rejected"),
  QUARANTINE_CHANGED("quarantine-changed"),
  QUARANTINE_TRIAL("quarantine-trial"),
  UPSTREAM_JUDGED("upstream-judged"),
  UPSTREAM_AVAILABILITY_CHANGED("upstream-availability-changed"),
  PREFIX_HOMES_CHANGED("prefix-homes-changed"),
  UPSTREAM_NOTICE_IGNORED("upstream-notice-ignored"),
  UPSTREAM_REPLACED("upstream-replaced"),
  EVACUATION_STARTED("evacuation-started"),
  EVACUATION_ENDED("evacuation-ended"),
  TABLE_STALE("table-stale"),
  TABLE_CONFIRMED("table-confirmed"),
  ALLOWED_REGIONS_CHANGED("allowed-regions-changed"),
  UPSTREAMS_IN_FORCE("upstreams-in-force"),
  UPSTREAM_REMOVAL_DEFERRED("upstream-removal-deferred"),
  UPSTREAM_REMOVED("upstream-removed"),
  SOFTWARE_VERSIONS_READ("software-versions-read"),
  ENTRY_IGNORED("entry-ignored"),
  SETTINGS_CHANGED("settings-changed"),
  SETTINGS_UNCHANGED("settings-unchanged"),
  SETTINGS_REFUSED("settings-refused"),
  TABLE_IN_FORCE("table-in-force"),
  TABLE_REFUSED("table-refused"),
  PLATFORM_READ_FAILED("platform-read-failed"),
  CHANGES_UNREADABLE("changes-unreadable"),
  STORE_RESTORED("store-restored"),
  PLATFORM_READ_AGAIN("platform-read-again"),
  LINK_UP("link-up"),
  LINK_CLOSED("link-closed"),
  LINK_CONNECT_FAILED("link-connect-failed"),
  LINK_FAILURE("link-failure"),
  TASK_FAILED("task-failed"),
  MAILBOX_CLOSED("mailbox-closed"),
  ADMINISTRATION_FAILED("administration-failed");

  private static final String FIELD = "event";

  private final String code;

  LogEvent(String code) {
    this.code = code;
  }

  /** Returns the stable code. */
  public String code() {
    return code;
  }

  /** Returns a new message with the code of the event, to which fields can be added. */
  public StringMapMessage message() {
    return new StringMapMessage().with(FIELD, code);
  }
}
