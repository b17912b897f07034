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
 * Starts, watches and ends processes of the project for demonstrations, tests and experiments.
 * Every process that it started is ended when it stops, also when this process ends.
 */
public final class ProcessFleet implements ManagedService {

  private static final String AGATEPIER_CLASS = "dev.agatepier.cli.process.AgatepierCommand";
  private static final long POLL_MILLIS = 50;
  private static final Duration GRACE = Duration.ofSeconds(15);
  private static final int SECRET_BYTES = 32;
  private static final List<String> COMMON_FLAGS =
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
  private final Thread killer = new Thread(this::killAll);

  /**
   * Creates a fleet without processes.
   *
   * @param folder folder for settings, keys and the processes' output
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
          new FleetException("the fleet's folder can't be written", unwritable));
    }
    Runtime.getRuntime().addShutdownHook(killer);
    return caller.start();
  }

  /** Asks every process to stop, ends those that have not after a while, and waits for all. */
  @Override
  public CompletableFuture<Void> stop() {
    List<CompletableFuture<?>> ended = new ArrayList<>();
    for (ChildProcess child : running()) {
      child.sendSignal(ProcessSignal.CONT);
      child.process().destroy();
      ended.add(
          child
              .process()
              .onExit()
              .orTimeout(GRACE.toMillis(), TimeUnit.MILLISECONDS)
              .exceptionallyCompose(late -> child.process().destroyForcibly().onExit()));
    }
    return CompletableFuture.allOf(ended.toArray(CompletableFuture[]::new))
        .thenCompose(done -> caller.stop())
        .whenComplete((done, failure) -> forgetKiller());
  }

  /** Returns the HTTP client that the fleet uses. */
  public HttpCaller caller() {
    return caller;
  }

  /** Returns the file with the administration key. */
  public Path keyFile() {
    return folder.resolve("administration.key");
  }

  /** Returns the file with the secret that links share. */
  public Path secretFile() {
    return folder.resolve("links.secret");
  }

  /** Returns the file to which an upstream stand-in of a name appends its records. */
  public Path recordFile(String name) {
    return folder.resolve(name + ".record");
  }

  /** Returns the latest process of a name. */
  public synchronized ChildProcess child(String name) {
    ChildProcess child = children.get(name);
    if (child == null) {
      throw new FleetException("no process is named " + name);
    }
    return child;
  }

  /**
   * Starts a stand-in that listens at an endpoint; completes when it answers.
   *
   * @param name name of the process
   * @param program platform, engine or plain
   * @param endpoint where it listens
   * @param more further arguments
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
    return whenResponding(child, endpoint.httpUrl("/health"), GRACE.multipliedBy(2));
  }

  /** Starts the command {@code agatepier-standin} with arguments of its own. */
  public ChildProcess startStandinCommand(String name, List<String> arguments) {
    return startJava(name, "-Xmx64m", StandinCommand.class.getName(), arguments);
  }

  /** Starts a router or sidecar; its settings are written first. It need not be ready at once. */
  public ChildProcess startNode(FleetNode node, Endpoint platform) {
    Path file = folder.resolve(node.name() + ".settings.json");
    try {
      Files.writeString(
          file,
          node.settingsJson(keyFile().toString(), secretFile().toString(), platform.httpUrl("")));
    } catch (IOException unwritable) {
      throw new FleetException("settings of " + node.name() + " can't be written", unwritable);
    }
    String program = node.role() == Role.ROUTER ? "router" : "sidecar";
    return startJava(
        node.name(), "-Xmx48m", AGATEPIER_CLASS, List.of(program, "--settings", file.toString()));
  }

  /** Completes when a node's {@code /ready} answers 200; fails at the deadline or its end. */
  public CompletableFuture<ChildProcess> whenReady(FleetNode node, Duration deadline) {
    return whenResponding(child(node.name()), node.administration().httpUrl("/ready"), deadline);
  }

  /** Completes when an address answers 200; fails at the deadline or when the process ends. */
  public CompletableFuture<ChildProcess> whenResponding(
      ChildProcess child, String address, Duration deadline) {
    return poll(child, address, System.nanoTime() + deadline.toNanos(), "no answer");
  }

  private CompletableFuture<ChildProcess> poll(
      ChildProcess child, String address, long deadlineNanos, String lastAnswer) {
    if (!child.alive()) {
      return failed(child, "ended with status " + child.process().exitValue());
    }
    if (System.nanoTime() - deadlineNanos > 0) {
      return failed(child, "is not ready in time, " + address + " gave: " + lastAnswer);
    }
    return caller
        .call("GET", address, Map.of(), "", GRACE)
        .handle(
            (answer, failure) -> {
              if (failure == null && answer.status() == 200) {
                return CompletableFuture.completedFuture(child);
              }
              String seen = failure == null ? answer.body() : failure.getMessage();
              return later().thenCompose(now -> poll(child, address, deadlineNanos, seen));
            })
        .thenCompose(next -> next);
  }

  private static CompletableFuture<Void> later() {
    return CompletableFuture.runAsync(
        () -> {}, CompletableFuture.delayedExecutor(POLL_MILLIS, TimeUnit.MILLISECONDS));
  }

  private static CompletableFuture<ChildProcess> failed(ChildProcess child, String reason) {
    return CompletableFuture.failedFuture(
        new FleetException(child.name() + " " + reason + "\n" + child.output()));
  }

  private synchronized ChildProcess startJava(
      String name, String heap, String mainClass, List<String> arguments) {
    ChildProcess earlier = children.get(name);
    if (earlier != null && earlier.alive()) {
      throw new FleetException("a process named " + name + " is running");
    }
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(COMMON_FLAGS);
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
      throw new FleetException(name + " can't be started", failure);
    }
  }

  private synchronized List<ChildProcess> running() {
    return children.values().stream().filter(ChildProcess::alive).toList();
  }

  private void killAll() {
    running().forEach(child -> child.process().destroyForcibly());
  }

  private void forgetKiller() {
    try {
      Runtime.getRuntime().removeShutdownHook(killer);
    } catch (IllegalStateException shuttingDown) {
      // The process is ending, and the hook has nothing left to end.
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
