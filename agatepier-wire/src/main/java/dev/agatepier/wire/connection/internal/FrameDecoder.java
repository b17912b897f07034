package dev.agatepier.wire.connection.internal;

import dev.agatepier.wire.connection.CodecException;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.util.List;

/** Cuts the incoming bytes into frames: a length of 4 bytes, then that many bytes. */
final class FrameDecoder extends ByteToMessageDecoder {

  /** Bytes of the length before each frame. */
  static final int HEADER_BYTES = 4;

  /** Longest frame before the peer has proved itself, in bytes. */
  static final int MAXIMUM_HANDSHAKE_FRAME_BYTES = 4_096;

  private int limit = MAXIMUM_HANDSHAKE_FRAME_BYTES;

  /** Sets the longest frame; called on the channel's event loop. */
  void setMaximumFrameBytes(int bytes) {
    limit = bytes;
  }

  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf input, List<Object> frames) {
    if (input.readableBytes() < HEADER_BYTES) {
      return;
    }
    int length = input.getInt(input.readerIndex());
    if (length < 1 || length > limit) {
      input.skipBytes(input.readableBytes());
      throw new CodecException("frame of " + length + " bytes is not from 1 to " + limit);
    }
    if (input.readableBytes() - HEADER_BYTES >= length) {
      input.skipBytes(HEADER_BYTES);
      frames.add(ByteBufUtil.getBytes(input, input.readerIndex(), length));
      input.skipBytes(length);
    }
  }
}
