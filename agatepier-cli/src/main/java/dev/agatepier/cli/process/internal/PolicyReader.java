package dev.agatepier.cli.process.internal;

import com.fasterxml.jackson.databind.JsonNode;
import java.lang.reflect.Constructor;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.RecordComponent;

/**
 * Reads a policy record from settings; missing fields keep their defaults. A duration whose
 * component is named {@code ...Millis} may also be set in seconds, by a field named {@code
 * ...Seconds}. Durations may have fractions in either unit and are rounded to milliseconds.
 */
final class PolicyReader {

  private static final String MILLIS_SUFFIX = "Millis";
  private static final String SECONDS_SUFFIX = "Seconds";
  private static final double MILLIS_PER_SECOND = 1_000;

  private PolicyReader() {}

  /**
   * Reads a record of integers, doubles, booleans and strings; its constructor checks the ranges.
   */
  static <R extends Record> R read(ObjectReader object, Class<R> type, R defaults) {
    RecordComponent[] components = type.getRecordComponents();
    Class<?>[] types = new Class<?>[components.length];
    Object[] values = new Object[components.length];
    try {
      for (int index = 0; index < components.length; index++) {
        types[index] = components[index].getType();
        values[index] =
            value(object, components[index], components[index].getAccessor().invoke(defaults));
      }
      Constructor<R> constructor = type.getDeclaredConstructor(types);
      return constructor.newInstance(values);
    } catch (InvocationTargetException failure) {
      object.addMistake("", failure.getCause().getMessage());
    } catch (ReflectiveOperationException failure) {
      throw new IllegalStateException("cannot create the policy record " + type.getName(), failure);
    }
    return defaults;
  }

  private static Object value(ObjectReader object, RecordComponent component, Object fallback) {
    String field = component.getName();
    if (fallback instanceof Long millis && field.endsWith(MILLIS_SUFFIX)) {
      return durationMillis(object, field, millis);
    }
    if (!object.has(field)) {
      return fallback;
    }
    JsonNode value = object.value(field);
    return switch (fallback) {
      case Integer number ->
          (int) object.integerInRange(field, value, 0, Integer.MAX_VALUE, number);
      case Long number -> object.integerInRange(field, value, 0, Long.MAX_VALUE, number);
      case Double number -> number(object, field, value, number);
      case Boolean flag -> flag(object, field, value, flag);
      default -> text(object, field, value, fallback);
    };
  }

  private static long durationMillis(ObjectReader object, String millisField, long fallback) {
    String secondsField =
        millisField.substring(0, millisField.length() - MILLIS_SUFFIX.length()) + SECONDS_SUFFIX;
    boolean hasMillis = object.has(millisField);
    boolean hasSeconds = object.has(secondsField);
    if (hasMillis && hasSeconds) {
      object.addMistake(secondsField, "must not be set together with " + millisField);
      return fallback;
    }
    if (!hasMillis && !hasSeconds) {
      return fallback;
    }
    String field = hasMillis ? millisField : secondsField;
    double unitMillis = hasMillis ? 1 : MILLIS_PER_SECOND;
    double number = number(object, field, object.value(field), fallback / unitMillis);
    return Math.round(number * unitMillis);
  }

  private static double number(ObjectReader object, String field, JsonNode value, double fallback) {
    if (value.isNumber()) {
      return value.doubleValue();
    }
    object.addMistake(field, "must be a number, without quotes or unit");
    return fallback;
  }

  private static boolean flag(ObjectReader object, String field, JsonNode value, boolean fallback) {
    if (value.isBoolean()) {
      return value.booleanValue();
    }
    object.addMistake(field, "must be true or false, without quotes");
    return fallback;
  }

  private static Object text(ObjectReader object, String field, JsonNode value, Object fallback) {
    if (value.isTextual()) {
      return value.textValue();
    }
    object.addMistake(field, "must be a string");
    return fallback;
  }
}
