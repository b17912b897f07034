package dev.agatepier.cli.process.internal;

import dev.agatepier.cli.process.SettingsException;
import dev.agatepier.wire.process.LogEvent;
import java.lang.reflect.RecordComponent;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Compares a program's settings file with the settings it was started with. Changes take effect at
 * the next start only: addresses and limits are passed to objects all over the process, and a
 * restart takes one second.
 *
 * @param <S> type of the settings
 */
final class SettingsChangeDetector<S> {

  private static final Logger LOGGER = LogManager.getLogger(SettingsChangeDetector.class);

  private final Supplier<S> reader;
  private final S active;

  SettingsChangeDetector(Supplier<S> reader, S active) {
    this.reader = reader;
    this.active = active;
  }

  /** Reads the settings again and logs the changed paths, or each mistake in the file. */
  void checkForChanges() {
    try {
      List<String> changed = changedPaths();
      if (changed.isEmpty()) {
        LOGGER.info(LogEvent.SETTINGS_UNCHANGED.message());
      } else {
        LOGGER.warn(
            LogEvent.SETTINGS_CHANGED
                .message()
                .with("changed", String.join(",", changed))
                .with("inForce", "at the next start"));
      }
    } catch (SettingsException failure) {
      failure
          .mistakes()
          .forEach(
              mistake ->
                  LOGGER.error(
                      LogEvent.SETTINGS_REFUSED.message().with("mistake", mistake.toString())));
    }
  }

  /** Returns the paths of the settings that differ from the active ones; none if all are equal. */
  List<String> changedPaths() {
    List<String> paths = new ArrayList<>();
    compare("", active, reader.get(), paths);
    return paths;
  }

  private static void compare(String path, Object before, Object after, List<String> paths) {
    if (Objects.equals(before, after)) {
      return;
    }
    if (!(before instanceof Record) || after == null || before.getClass() != after.getClass()) {
      paths.add(path);
      return;
    }
    for (RecordComponent component : before.getClass().getRecordComponents()) {
      String inner = path.isEmpty() ? component.getName() : path + "." + component.getName();
      compare(inner, value(component, before), value(component, after), paths);
    }
  }

  private static Object value(RecordComponent component, Object owner) {
    try {
      return component.getAccessor().invoke(owner);
    } catch (ReflectiveOperationException failure) {
      throw new IllegalStateException("cannot call the accessor of a record component", failure);
    }
  }
}
