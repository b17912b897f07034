package dev.agatepier.wire.connection;

import dev.agatepier.core.connection.LinkMessage;

/** Turns messages into bytes and back. */
public interface MessageCodec {

  /** Encodes a message; fails with {@link CodecException} if it exceeds a bound of the wire. */
  byte[] encode(LinkMessage message);

  /** Decodes exactly one message; fails with {@link CodecException} on anything else. */
  LinkMessage decode(byte[] content);
}
