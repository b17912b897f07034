package dev.agatepier.standin.process;

import dev.agatepier.core.connection.Role;
import dev.agatepier.core.process.ManagedService;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * Starts, monitors and stops child processes for demonstrations, tests and experiments. Children
 * are stopped by {@link #stop}, and killed by a shutdown hook when this JVM exits without it.
 */
public final class ProcessFleet implements ManagedService {

  private static final String AGATEPIER_CLASS = "dev.agatepier.cli.process.AgatepierCommand";
  private static final long POLL_INTERVAL_MILLIS = 50;
  private static final Duration TIMEOUT = Duration.ofSeconds(15);
  private static final int SECRET_BYTES = 32;
  private static final List<String> JVM_FLAGS =
      List.of(
          "-XX:+UseSerialGC",
          "-XX:TieredStopAtLevel=1",
          "-Xss256k",
          "-Dreactor.netty.ioWorkerCount=1",
          "--enable-native-access=ALL-UNNAMED",
          "--sun-misc-unsafe-memory-access=allow");

  private final Path folder;
  private final HttpCaller caller = new HttpCaller();
  private final Map<String, ChildProcess> children = new LinkedHashMap<>();
  private final Thread shutdownHook = new Thread(this::destroyAll);

  /**
   * Creates a fleet without processes; {@link #start} writes its keys.
   *
   * @param folder directory for settings, keys and the output of the processes
   */
  public ProcessFleet(Path folder) {
    this.folder = folder.toAbsolutePath();
  }

  @Override
  public CompletableFuture<Void> start() {
    try {
      Files.createDirectories(folder);
      writeSecret(secretFile());
      writeSecret(keyFile());
    } catch (IOException unwritable) {
      return CompletableFuture.failedFuture(
          new FleetException("cannot write to fleet directory " + folder, unwritable));
    }
    Runtime.getRuntime().addShutdownHook(shutdownHook);
    return caller.start();
  }

  /**
   * Terminates every process, kills those that run for another 15 seconds, and awaits all exits.
   */
  @Override
  public CompletableFuture<Void> stop() {
    List<CompletableFuture<?>> exits = new ArrayList<>();
    for (ChildProcess child : running()) {
      child.sendSignal(ProcessSignal.CONT);
      child.process().destroy();
      exits.add(
          child
              .process()
              .onExit()
              .orTimeout(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
              .exceptionallyCompose(timeout -> child.process().destroyForcibly().onExit()));
    }
    return CompletableFuture.allOf(exits.toArray(CompletableFuture[]::new))
        .thenCompose(done -> caller.stop())
        .whenComplete((done, failure) -> removeShutdownHook());
  }

  /** Returns the fleet's HTTP client. */
  public HttpCaller caller() {
    return caller;
  }

  /** Returns the file with the key of the administration interfaces. */
  public Path keyFile() {
    return folder.resolve("administration.key");
  }

  /** Returns the file with the shared secret of the links. */
  public Path secretFile() {
    return folder.resolve("links.secret");
  }

  /** Returns the file to which the upstream stand-in of a name appends its run records. */
  public Path recordFile(String name) {
    return folder.resolve(name + ".record");
  }

  /** Returns the process that was started last under a name. */
  public synchronized ChildProcess child(String name) {
    ChildProcess child = children.get(name);
    if (child == null) {
      throw new FleetException("no process named " + name + " has been started");
    }
    return child;
  }

  /**
   * Starts a stand-in that listens at an endpoint; completes when its health check responds.
   *
   * @param name name of the process
   * @param program platform, engine or plain
   * @param endpoint endpoint on which it listens
   * @param more additional arguments
   */
  public CompletableFuture<ChildProcess> startStandin(
      String name, String program, Endpoint endpoint, String... more) {
    List<String> arguments =
        new ArrayList<>(
            List.of(
                program,
                "--address",
                endpoint.address(),
                "--port",
                Integer.toString(endpoint.port())));
    arguments.addAll(List.of(more));
    ChildProcess child = startStandinCommand(name, arguments);
    return whenResponding(child, endpoint.httpUrl("/health"), TIMEOUT.multipliedBy(2));
  }

  /** Starts the command {@code agatepier-standin} with the given arguments. */
  public ChildProcess startStandinCommand(String name, List<String> arguments) {
    return startJava(name, "-Xmx64m", StandinCommand.class.getName(), arguments);
  }

  /** Writes the settings of a router or sidecar and starts it; returns before it is ready. */
  public ChildProcess startNode(FleetNode node, Endpoint platform) {
    Path file = folder.resolve(node.name() + ".settings.json");
    try {
      Files.writeString(
          file,
          node.settingsJson(keyFile().toString(), secretFile().toString(), platform.httpUrl("")));
    } catch (IOException unwritable) {
      throw new FleetException(
          "cannot write settings file " + file + " of " + node.name(), unwritable);
    }
    String program = node.role() == Role.ROUTER ? "router" : "sidecar";
    return startJava(
        node.name(), "-Xmx48m", AGATEPIER_CLASS, List.of(program, "--settings", file.toString()));
  }

  /** Completes when a node's {@code /ready} returns 200; fails at the deadline or on its exit. */
  public CompletableFuture<ChildProcess> whenReady(FleetNode node, Duration deadline) {
    return whenResponding(child(node.name()), node.administration().httpUrl("/ready"), deadline);
  }

  /** Completes when a URL returns 200; fails at the deadline or when the process exits. */
  public CompletableFuture<ChildProcess> whenResponding(
      ChildProcess child, String url, Duration deadline) {
    return poll(child, url, System.nanoTime() + deadline.toNanos(), "no response");
  }

  private CompletableFuture<ChildProcess> poll(
      ChildProcess child, String url, long deadlineNanos, String lastResponse) {
    if (!child.alive()) {
      return startFailure(child, "exited with status " + child.process().exitValue());
    }
    if (System.nanoTime() - deadlineNanos > 0) {
      return startFailure(
          child,
          "was not ready before the deadline; last response of " + url + ": " + lastResponse);
    }
    return caller
        .call("GET", url, Map.of(), "", TIMEOUT)
        .handle(
            (response, failure) -> {
              if (failure == null && response.status() == 200) {
                return CompletableFuture.completedFuture(child);
              }
              String lastSeen = failure == null ? response.body() : failure.getMessage();
              return pollDelay().thenCompose(elapsed -> poll(child, url, deadlineNanos, lastSeen));
            })
        .thenCompose(next -> next);
  }

  private static CompletableFuture<Void> pollDelay() {
    return CompletableFuture.runAsync(
        () -> {}, CompletableFuture.delayedExecutor(POLL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS));
  }

  private static CompletableFuture<ChildProcess> startFailure(ChildProcess child, String reason) {
    return CompletableFuture.failedFuture(
        new FleetException(child.name() + " " + reason + "\n" + child.output()));
  }

  private synchronized ChildProcess startJava(
      String name, String heap, String mainClass, List<String> arguments) {
    ChildProcess earlier = children.get(name);
    if (earlier != null && earlier.alive()) {
      throw new FleetException("a process named " + name + " is already running");
    }
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(JVM_FLAGS);
    command.addAll(List.of(heap, "-cp", System.getProperty("java.class.path"), mainClass));
    command.addAll(arguments);
    Path output = folder.resolve(name + ".output");
    try {
      Process process =
          new ProcessBuilder(command)
              .redirectErrorStream(true)
              .redirectOutput(ProcessBuilder.Redirect.appendTo(output.toFile()))
              .start();
      ChildProcess child = new ChildProcess(name, process, output);
      children.put(name, child);
      return child;
    } catch (IOException failure) {
      throw new FleetException("cannot start process " + name, failure);
    }
  }

  private synchronized List<ChildProcess> running() {
    return children.values().stream().filter(ChildProcess::alive).toList();
  }

  private void destroyAll() {
    running().forEach(child -> child.process().destroyForcibly());
  }

  private void removeShutdownHook() {
    try {
      Runtime.getRuntime().removeShutdownHook(shutdownHook);
    } catch (IllegalStateException shuttingDown) {
      // The JVM is shutting down: hooks can no longer be removed, and no child is left to kill.
      return;
    }
  }

  private static void writeSecret(Path file) throws IOException {
    byte[] bytes = new byte[SECRET_BYTES];
    new SecureRandom().nextBytes(bytes);
    Files.deleteIfExists(file);
    Files.createFile(
        file, PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rw-------")));
    Files.writeString(file, HexFormat.of().formatHex(bytes));
  }
}
