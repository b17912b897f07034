package dev.agatepier.cli.process.internal;

import java.lang.reflect.Proxy;

/**
 * Handlers of signals. The runtime's signal classes are loaded by name, because the compiler warns
 * of each direct use of them.
 */
public final class SignalHandlers {

  private static final String SIGNAL = "sun.misc.Signal";
  private static final String HANDLER = "sun.misc.SignalHandler";

  private SignalHandlers() {}

  /**
   * Runs an action at each signal of a name from now on, instead of terminating the process.
   *
   * @param name name of the signal without the prefix SIG, such as {@code HUP}
   * @throws IllegalStateException if the runtime does not support signal handlers
   */
  public static void handle(String name, Runnable action) {
    try {
      Class<?> signal = Class.forName(SIGNAL);
      Class<?> handler = Class.forName(HANDLER);
      Object handling =
          Proxy.newProxyInstance(
              SignalHandlers.class.getClassLoader(),
              new Class<?>[] {handler},
              (proxy, method, arguments) -> {
                action.run();
                return null;
              });
      signal
          .getMethod("handle", signal, handler)
          .invoke(null, signal.getConstructor(String.class).newInstance(name), handling);
    } catch (ReflectiveOperationException failure) {
      throw new IllegalStateException("cannot install a handler of SIG" + name, failure);
    }
  }
}
