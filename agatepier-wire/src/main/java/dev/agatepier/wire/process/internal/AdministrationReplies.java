package dev.agatepier.wire.process.internal;

import dev.agatepier.wire.process.AdministrationAnswer;

/** Answers that several calls of the administration API give. */
final class AdministrationReplies {

  private static final int ACCEPTED = 202;
  private static final int NOT_FOUND = 404;

  private AdministrationReplies() {}

  /** A text about the call. */
  private record Note(String message) {}

  static AdministrationAnswer ok(Object body) {
    return AdministrationAnswer.ok(body);
  }

  static AdministrationAnswer draining() {
    return new AdministrationAnswer(ACCEPTED, new Note("the graceful stop has begun"));
  }

  static AdministrationAnswer notRemembered() {
    return new AdministrationAnswer(NOT_FOUND, new Note("the request is not remembered"));
  }
}
