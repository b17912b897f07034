package dev.agatepier.cli.process.internal;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Client of the administration API of the processes that a command selects. */
public interface FleetClient {

  /**
   * A process to call.
   *
   * @param name name of its instance, or its address if the name is not known
   * @param dataCentre its data centre; empty if it is not known
   * @param address IP address of its administration API
   * @param port TCP port of its administration API
   */
  record Target(String name, String dataCentre, String address, int port) {}

  /**
   * HTTP response of a process.
   *
   * @param status HTTP status code
   * @param body parsed JSON body; a missing node if it is not JSON
   */
  record Response(int status, JsonNode body) {

    /** Returns whether the status is a success (2xx). */
    boolean ok() {
      return status / 100 == 2;
    }
  }

  /**
   * Returns the processes to call; fails with a platform error if the instance list is unreadable.
   */
  List<Target> targets();

  /** Sends a request to a process; empty if it is unreachable or does not respond in time. */
  CompletableFuture<Optional<Response>> call(Target target, String method, String path);
}
