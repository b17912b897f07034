package dev.agatepier.wire.connection;

import dev.agatepier.core.connection.LinkMessage;

/** Encodes and decodes the messages of links. */
public interface MessageCodec {

  /** Encodes a message; throws {@link CodecException} if it exceeds a wire limit. */
  byte[] encode(LinkMessage message);

  /** Decodes exactly one message; throws {@link CodecException} for anything else. */
  LinkMessage decode(byte[] content);
}
