package dev.agatepier.wire.connection.internal;

import dev.agatepier.core.connection.LinkMessage;

/**
 * How one type of message is encoded.
 *
 * @param number type number on the wire
 * @param messageClass record that holds the message
 * @param fieldCount number of fields
 * @param writer writes the fields in order
 * @param reader reads the fields in the same order
 * @param <M> the message
 */
public record MessageType<M extends LinkMessage>(
    int number, Class<M> messageClass, int fieldCount, Writer<M> writer, Reader<M> reader) {

  /** Writes type number and fields of a message of this type. */
  public void write(LinkMessage message, FieldOutput output) {
    output.writeArrayLength(fieldCount + 1);
    output.writeInt(number);
    writer.write(messageClass.cast(message), output);
  }

  /** Writes the fields of a message. */
  @FunctionalInterface
  public interface Writer<M> {
    /** Writes every field. */
    void write(M message, FieldOutput output);
  }

  /** Reads the fields of a message. */
  @FunctionalInterface
  public interface Reader<M> {
    /** Reads every field. */
    M read(FieldInput input);
  }
}
