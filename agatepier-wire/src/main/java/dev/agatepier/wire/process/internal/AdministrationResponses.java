package dev.agatepier.wire.process.internal;

import dev.agatepier.wire.process.AdministrationResponse;

/** Responses that several routes of the administration API share. */
final class AdministrationResponses {

  private static final int ACCEPTED = 202;
  private static final int NOT_FOUND = 404;

  private AdministrationResponses() {}

  /** Response body with a message. */
  private record Note(String message) {}

  static AdministrationResponse ok(Object body) {
    return AdministrationResponse.ok(body);
  }

  static AdministrationResponse drainStarted() {
    return new AdministrationResponse(ACCEPTED, new Note("the graceful stop has begun"));
  }

  static AdministrationResponse requestNotFound() {
    return new AdministrationResponse(NOT_FOUND, new Note("the request is not remembered"));
  }
}
