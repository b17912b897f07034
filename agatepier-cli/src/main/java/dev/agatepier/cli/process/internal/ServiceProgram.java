package dev.agatepier.cli.process.internal;

import dev.agatepier.cli.process.ExitCode;
import dev.agatepier.cli.process.ProcessSignals;
import dev.agatepier.cli.process.Program;
import dev.agatepier.wire.process.CommonSettings;
import dev.agatepier.wire.process.FleetService;
import dev.agatepier.wire.process.LogEvent;
import java.security.SecureRandom;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Function;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Runs a service until the process is asked to stop, by a signal or a drain, and then stops it
 * gracefully.
 *
 * @param <S> type of the service's settings
 */
public final class ServiceProgram<S> implements Program<S> {

  /** Number of low bits of an incarnation that are random. */
  private static final int RANDOM_BITS = 20;

  /** Maximum time to write the last log events, which takes forever if nobody reads them. */
  private static final long LOG_TIMEOUT_MILLIS = 1_000;

  private final Function<S, CommonSettings> common;
  private final Factory<S> factory;

  /** Creates the service that a program runs, once per start. */
  @FunctionalInterface
  public interface Factory<S> {

    /**
     * Creates the service.
     *
     * @param settings settings of the service
     * @param incarnation incarnation of the service, higher than those of earlier starts
     * @param stop starts a graceful stop of the program
     */
    FleetService create(S settings, long incarnation, Runnable stop);
  }

  /** Creates the program; {@code common} returns the common part of the settings. */
  public ServiceProgram(Function<S, CommonSettings> common, Factory<S> factory) {
    this.common = common;
    this.factory = factory;
  }

  @Override
  public int run(S settings) {
    System.setProperty("agatepier.instance", common.apply(settings).instance());
    Logger logger = LogManager.getLogger(ServiceProgram.class);
    CompletableFuture<Void> stopRequested = new CompletableFuture<>();
    ProcessSignals.onTermination(() -> stopRequested.complete(null));
    if (stopRequested.isDone()) {
      logger.info(LogEvent.STOP_BEGUN.message());
      logger.info(LogEvent.STOP_DONE.message().with("cut", 0));
      return afterLastLine(ExitCode.OK);
    }
    long timeoutMillis = common.apply(settings).stop().timeoutMillis();
    CompletableFuture<Integer> exitCode = new CompletableFuture<>();
    FleetService service =
        factory.create(settings, newIncarnation(), () -> stopRequested.complete(null));
    // The default handler writes to standard error, which may block.
    Thread.setDefaultUncaughtExceptionHandler(
        (thread, failure) ->
            logger.error(LogEvent.TASK_FAILED.message().with("thread", thread.getName()), failure));
    try {
      awaitStart(service.start(), stopRequested, timeoutMillis);
    } catch (CompletionException failure) {
      logger.error(LogEvent.START_FAILED.message(), failure.getCause());
      return afterLastLine(ExitCode.UNREACHABLE);
    }
    Thread hook =
        new Thread(
            () -> {
              stopRequested.complete(null);
              Runtime.getRuntime().halt(exitCode.join());
            },
            "stop");
    Runtime.getRuntime().addShutdownHook(hook);
    stopRequested.join();
    int code = afterLastLine(stop(service, timeoutMillis, logger));
    exitCode.complete(code);
    return code;
  }

  /** Writes the queued log events, which would be lost with the process; returns the exit code. */
  private static int afterLastLine(ExitCode code) {
    CompletableFuture.runAsync(LogManager::shutdown)
        .completeOnTimeout(null, LOG_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
        .join();
    return code.code();
  }

  /** Waits for the start; once the process is to stop, for no longer than the stop may take. */
  private static void awaitStart(
      CompletableFuture<Void> start, CompletableFuture<Void> stopRequested, long timeoutMillis) {
    CompletableFuture.anyOf(start, stopRequested).join();
    start.orTimeout(timeoutMillis, TimeUnit.MILLISECONDS).join();
  }

  private static ExitCode stop(FleetService service, long timeoutMillis, Logger logger) {
    logger.info(LogEvent.STOP_BEGUN.message());
    try {
      service.stop().get(timeoutMillis, TimeUnit.MILLISECONDS);
      logger.info(LogEvent.STOP_DONE.message().with("cut", 0));
      return ExitCode.OK;
    } catch (TimeoutException timeout) {
      List<String> aborted = service.inFlight();
      aborted.forEach(name -> logger.error(LogEvent.REQUEST_CUT.message().with("request", name)));
      logger.error(
          LogEvent.STOP_TIMEOUT
              .message()
              .with("timeoutMillis", timeoutMillis)
              .with("cut", aborted.size()));
      return ExitCode.TIMEOUT;
    } catch (ExecutionException | InterruptedException failure) {
      logger.error(LogEvent.STOP_FAILED.message(), failure);
      return ExitCode.FINDINGS;
    }
  }

  /**
   * Increases with the wall clock of the instance; the random bits distinguish starts within the
   * same millisecond.
   */
  private static long newIncarnation() {
    return (System.currentTimeMillis() << RANDOM_BITS)
        | new SecureRandom().nextInt(1 << RANDOM_BITS);
  }
}
