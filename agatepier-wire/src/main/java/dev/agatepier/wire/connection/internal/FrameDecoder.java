package dev.agatepier.wire.connection.internal;

import dev.agatepier.wire.connection.CodecException;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.util.List;

/** Decodes length-prefixed frames: a length of 4 bytes, then that many bytes of content. */
final class FrameDecoder extends ByteToMessageDecoder {

  /** Size of the length field, in bytes. */
  static final int HEADER_BYTES = 4;

  /** Maximum frame size before the peer is authenticated, in bytes. */
  static final int MAXIMUM_HANDSHAKE_FRAME_BYTES = 4_096;

  private int maximumFrameBytes = MAXIMUM_HANDSHAKE_FRAME_BYTES;

  /** Sets the maximum frame size; called on the event loop of the channel. */
  void setMaximumFrameBytes(int bytes) {
    maximumFrameBytes = bytes;
  }

  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf input, List<Object> frames) {
    if (input.readableBytes() < HEADER_BYTES) {
      return;
    }
    int length = input.getInt(input.readerIndex());
    if (length < 1 || length > maximumFrameBytes) {
      input.skipBytes(input.readableBytes());
      throw new CodecException(
          "frame length " + length + " is not in the range from 1 to " + maximumFrameBytes);
    }
    if (input.readableBytes() - HEADER_BYTES >= length) {
      input.skipBytes(HEADER_BYTES);
      frames.add(ByteBufUtil.getBytes(input, input.readerIndex(), length));
      input.skipBytes(length);
    }
  }
}
