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
 * Compares a program's settings with those it was started with. A change takes force at the next
 * start: addresses and limits are wired through the whole process, and its restart costs a second.
 *
 * @param <S> the settings
 */
final class SettingsChangeDetector<S> {

  private static final Logger LOGGER = LogManager.getLogger(SettingsChangeDetector.class);

  private final Supplier<S> reader;
  private final S inForce;

  SettingsChangeDetector(Supplier<S> reader, S inForce) {
    this.reader = reader;
    this.inForce = inForce;
  }

  /** Reads the settings again and logs what differs, or each mistake in them. */
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

  /** Returns the paths of the settings that differ from those in force; none if all are equal. */
  List<String> changedPaths() {
    List<String> paths = new ArrayList<>();
    compare("", inForce, reader.get(), paths);
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
      throw new IllegalStateException("a record's accessor can't be called", failure);
    }
  }
}
