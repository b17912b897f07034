package dev.agatepier.cli.process.internal;

import com.fasterxml.jackson.databind.JsonNode;
import java.lang.reflect.Constructor;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.RecordComponent;

/** Reads a policy record from settings; missing fields keep their defaults. */
final class PolicyReader {

  private PolicyReader() {}

  /** Reads a record of integers, doubles and strings; its constructor checks the ranges. */
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
    if (!object.has(field)) {
      return fallback;
    }
    JsonNode value = object.value(field);
    return switch (fallback) {
      case Integer number ->
          (int) object.integerInRange(field, value, 0, Integer.MAX_VALUE, number);
      case Long number -> object.integerInRange(field, value, 0, Long.MAX_VALUE, number);
      case Double ignored -> number(object, field, value, fallback);
      default -> text(object, field, value, fallback);
    };
  }

  private static Object number(ObjectReader object, String field, JsonNode value, Object fallback) {
    if (value.isNumber()) {
      return value.doubleValue();
    }
    object.addMistake(field, "must be a number, without quotes or unit");
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
