package dev.agatepier.wire.connection.internal;

import java.util.List;

/** Provides the encodings of a group of message types. */
public interface MessageTypeProvider {

  /** Returns the message types of the group. */
  List<MessageType<?>> messageTypes();
}
