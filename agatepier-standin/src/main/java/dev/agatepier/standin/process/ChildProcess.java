package dev.agatepier.standin.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;

/**
 * A child process of a {@link ProcessFleet}.
 *
 * @param name name of the process, unique within the fleet
 * @param process the process
 * @param outputFile file that its standard output and standard error are appended to
 */
public record ChildProcess(String name, Process process, Path outputFile) {

  /** Rejects null components. */
  public ChildProcess {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(process, "process");
    Objects.requireNonNull(outputFile, "outputFile");
  }

  /** Returns the process id. */
  public long pid() {
    return process.pid();
  }

  /** Returns whether the process is running. */
  public boolean alive() {
    return process.isAlive();
  }

  /** Returns a future that completes with the exit status when the process exits. */
  public CompletableFuture<Integer> exitStatus() {
    return process.onExit().thenApply(Process::exitValue);
  }

  /** Signals this process only, not its children; completes when {@code kill} has exited. */
  public CompletableFuture<Void> sendSignal(ProcessSignal signal) {
    try {
      return new ProcessBuilder("kill", "-" + signal, Long.toString(pid()))
          .redirectErrorStream(true)
          .redirectOutput(ProcessBuilder.Redirect.DISCARD)
          .start()
          .onExit()
          .thenApply(signalled -> null);
    } catch (IOException failure) {
      return CompletableFuture.failedFuture(
          new FleetException("cannot send signal " + signal + " to process " + name, failure));
    }
  }

  /** Returns the output of the process so far. */
  public String output() {
    try {
      return Files.readString(outputFile);
    } catch (IOException unreadable) {
      throw new FleetException(
          "cannot read output file " + outputFile + " of process " + name, unreadable);
    }
  }
}
