package dev.agatepier.cli.process.internal;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** The processes that a command asks, over their administration API. */
public interface FleetClient {

  /**
   * One process.
   *
   * @param name name of its instance, or its address if the name is not known
   * @param dataCentre its data centre; empty if not known
   * @param address IP number of its administration API
   * @param port TCP port of its administration API
   */
  record Target(String name, String dataCentre, String address, int port) {}

  /**
   * What a process answered.
   *
   * @param status HTTP status
   * @param body body
   */
  record Response(int status, JsonNode body) {

    /** Returns whether the call was done. */
    boolean ok() {
      return status / 100 == 2;
    }
  }

  /** Returns the processes to ask; fails with a platform error if their list cannot be read. */
  List<Target> targets();

  /** Calls a process; nothing if it cannot be reached. */
  CompletableFuture<Optional<Response>> call(Target target, String method, String path);
}
