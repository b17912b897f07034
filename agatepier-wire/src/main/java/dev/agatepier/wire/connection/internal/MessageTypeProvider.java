package dev.agatepier.wire.connection.internal;

import java.util.List;

/** Encodes the messages of one subject. */
public interface MessageTypeProvider {

  /** Returns the types of message that belong to the family. */
  List<MessageType<?>> messageTypes();
}
