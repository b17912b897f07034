package dev.agatepier.cli.process.internal;

import dev.agatepier.cli.process.ExitCode;
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
 * Runs a service until the process is told to stop, then stops it gracefully.
 *
 * @param <S> settings of the service
 */
public final class ServiceProgram<S> implements Program<S> {

  /** Low bits of an incarnation that are random. */
  private static final int RANDOM_BITS = 20;

  private final Function<S, CommonSettings> common;
  private final Factory<S> factory;

  /** Creates the service of a program. */
  @FunctionalInterface
  public interface Factory<S> {

    /**
     * Creates the service.
     *
     * @param settings its settings
     * @param incarnation its incarnation
     * @param stop ends the program gracefully
     */
    FleetService create(S settings, long incarnation, Runnable stop);
  }

  /** Creates the program. */
  public ServiceProgram(Function<S, CommonSettings> common, Factory<S> factory) {
    this.common = common;
    this.factory = factory;
  }

  @Override
  public int run(S settings) {
    System.setProperty("agatepier.instance", common.apply(settings).instance());
    Logger logger = LogManager.getLogger(ServiceProgram.class);
    CompletableFuture<Void> stopAsked = new CompletableFuture<>();
    CompletableFuture<Integer> ended = new CompletableFuture<>();
    FleetService service = factory.create(settings, incarnation(), () -> stopAsked.complete(null));
    try {
      service.start().join();
    } catch (CompletionException failure) {
      logger.error(LogEvent.START_FAILED.message(), failure.getCause());
      return ExitCode.UNREACHABLE.code();
    }
    Thread hook =
        new Thread(
            () -> {
              stopAsked.complete(null);
              Runtime.getRuntime().halt(ended.join());
            },
            "stop");
    Runtime.getRuntime().addShutdownHook(hook);
    stopAsked.join();
    int code = stop(service, common.apply(settings).stop().timeoutMillis(), logger);
    ended.complete(code);
    return code;
  }

  private static int stop(FleetService service, long timeoutMillis, Logger logger) {
    logger.info(LogEvent.STOP_BEGUN.message());
    try {
      service.stop().get(timeoutMillis, TimeUnit.MILLISECONDS);
      logger.info(LogEvent.STOP_DONE.message().with("cut", 0));
      return ExitCode.OK.code();
    } catch (TimeoutException late) {
      List<String> cut = service.inFlight();
      cut.forEach(name -> logger.error(LogEvent.REQUEST_CUT.message().with("request", name)));
      logger.error(
          LogEvent.STOP_TIMEOUT
              .message()
              .with("timeoutMillis", timeoutMillis)
              .with("cut", cut.size()));
      return ExitCode.TIMEOUT.code();
    } catch (ExecutionException | InterruptedException failure) {
      logger.error(LogEvent.STOP_FAILED.message(), failure);
      return ExitCode.FINDINGS.code();
    }
  }

  /** Rises with the wall clock of the instance; the random part keeps two starts apart. */
  private static long incarnation() {
    return (System.currentTimeMillis() << RANDOM_BITS)
        | new SecureRandom().nextInt(1 << RANDOM_BITS);
  }
}
