package dev.agatepier.standin.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;

/**
 * A process that a fleet started.
 *
 * @param name name within the fleet
 * @param process the process
 * @param outputFile file with its standard output and error
 */
public record ChildProcess(String name, Process process, Path outputFile) {

  /** Checks that every part is present. */
  public ChildProcess {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(process, "process");
    Objects.requireNonNull(outputFile, "outputFile");
  }

  /** Returns the process id. */
  public long pid() {
    return process.pid();
  }

  /** Returns whether the process has not ended. */
  public boolean alive() {
    return process.isAlive();
  }

  /** Returns the exit status as soon as the process ends. */
  public CompletableFuture<Integer> exitStatus() {
    return process.onExit().thenApply(Process::exitValue);
  }

  /** Sends a signal to this process and to no other; the future completes when it was sent. */
  public CompletableFuture<Void> sendSignal(ProcessSignal signal) {
    try {
      return new ProcessBuilder("kill", "-" + signal, Long.toString(pid()))
          .redirectErrorStream(true)
          .redirectOutput(ProcessBuilder.Redirect.DISCARD)
          .start()
          .onExit()
          .thenApply(sent -> null);
    } catch (IOException failure) {
      return CompletableFuture.failedFuture(
          new FleetException("can't send " + signal + " to " + name, failure));
    }
  }

  /** Returns what the process has printed so far. */
  public String output() {
    try {
      return Files.readString(outputFile);
    } catch (IOException unreadable) {
      throw new FleetException("the output of " + name + " can't be read", unreadable);
    }
  }
}
