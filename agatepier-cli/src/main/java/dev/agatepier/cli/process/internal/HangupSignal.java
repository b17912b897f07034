package dev.agatepier.cli.process.internal;

import java.lang.reflect.Proxy;

/**
 * The signal by which a process is told to look at its settings again. The runtime's classes for
 * signals are named by text, as the compiler warns of each use of them.
 */
final class HangupSignal {

  private static final String SIGNAL = "sun.misc.Signal";
  private static final String HANDLER = "sun.misc.SignalHandler";
  private static final String NAME = "HUP";

  private HangupSignal() {}

  /**
   * Has an action run at each such signal from now on, instead of the end of the process.
   *
   * @throws IllegalStateException if the runtime has no signals
   */
  static void handle(Runnable action) {
    try {
      Class<?> signal = Class.forName(SIGNAL);
      Class<?> handler = Class.forName(HANDLER);
      Object handling =
          Proxy.newProxyInstance(
              HangupSignal.class.getClassLoader(),
              new Class<?>[] {handler},
              (proxy, method, arguments) -> {
                action.run();
                return null;
              });
      signal
          .getMethod("handle", signal, handler)
          .invoke(null, signal.getConstructor(String.class).newInstance(NAME), handling);
    } catch (ReflectiveOperationException failure) {
      throw new IllegalStateException("the runtime has no signals", failure);
    }
  }
}
