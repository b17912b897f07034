package dev.agatepier.cli.process.internal;

import java.lang.reflect.Proxy;

/**
 * SIGHUP, on which a process checks its settings for changes. The runtime's signal classes are
 * loaded by name, because the compiler warns of each direct use of them.
 */
final class HangupSignal {

  private static final String SIGNAL = "sun.misc.Signal";
  private static final String HANDLER = "sun.misc.SignalHandler";
  private static final String NAME = "HUP";

  private HangupSignal() {}

  /**
   * Runs an action at each SIGHUP from now on, instead of terminating the process.
   *
   * @throws IllegalStateException if the runtime does not support signal handlers
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
      throw new IllegalStateException("cannot install a handler of SIGHUP", failure);
    }
  }
}
