package dev.agatepier.wire.connection.internal;

import dev.agatepier.core.connection.LinkMessage;

/**
 * The encoding of one message type.
 *
 * @param number type number on the wire
 * @param recordClass record class of the message
 * @param fieldCount number of fields after the type number
 * @param writer writes the fields in order
 * @param reader reads the fields in the same order
 * @param <M> record type of the message
 */
public record MessageType<M extends LinkMessage>(
    int number, Class<M> recordClass, int fieldCount, Writer<M> writer, Reader<M> reader) {

  /** Writes the type number and the fields of a message. */
  public void write(LinkMessage message, FieldOutput output) {
    output.writeArrayLength(fieldCount + 1);
    output.writeInt(number);
    writer.write(recordClass.cast(message), output);
  }

  /** Writes the fields of a message. */
  @FunctionalInterface
  public interface Writer<M> {
    /** Writes all fields in order. */
    void write(M message, FieldOutput output);
  }

  /** Reads the fields of a message. */
  @FunctionalInterface
  public interface Reader<M> {
    /** Reads all fields in order. */
    M read(FieldInput input);
  }
}
