package dev.agatepier.wire.connection.internal;

import dev.agatepier.wire.connection.internal.StrictRequestDecoder.Gate;
import io.netty.channel.Channel;

/**
 * The bytes that a caller connection has received and not processed: those of an incomplete head,
 * and pipelined requests, which stay encoded until the response before them is written.
 */
final class CallerInput {

  private final StrictRequestDecoder decoder;
  private final int pipelinedBytes;

  /** Bytes received since the end of the request before. */
  private long bytesOfRequest;

  /**
   * Creates the input of a connection.
   *
   * @param headerBytes maximum size of a request head, in bytes
   * @param pipelinedBytes bytes of pipelined requests after which reading is paused
   */
  CallerInput(int headerBytes, int pipelinedBytes) {
    this.decoder = new StrictRequestDecoder(headerBytes);
    this.pipelinedBytes = pipelinedBytes;
  }

  StrictRequestDecoder decoder() {
    return decoder;
  }

  /** Returns whether bytes wait to be decoded. */
  boolean hasUndecoded() {
    return decoder.undecodedBytes() > 0;
  }

  /** Returns the number of fields of the head that has been decoded, and forgets them. */
  int takeFieldCount() {
    int count = decoder.fieldCount();
    decoder.forgetHead();
    return count;
  }

  /** Counts received bytes before they are decoded. */
  void onReceived(int bytes) {
    bytesOfRequest += bytes;
  }

  /** Returns how many bytes of the current request have been decoded. */
  long decodedBytes() {
    return Math.max(0, bytesOfRequest - decoder.undecodedBytes());
  }

  /** Keeps or pauses reading, after bytes were decoded or kept. */
  void updateReading(Channel channel) {
    boolean reads = !decoder.isClosed() || decoder.undecodedBytes() < pipelinedBytes;
    if (channel.config().isAutoRead() != reads) {
      channel.config().setAutoRead(reads);
    }
  }

  /** Returns whether received bytes are kept undecoded. */
  boolean isHeld() {
    return decoder.isClosed();
  }

  /** Keeps further bytes undecoded, as the request is complete. */
  void hold() {
    decoder.setGate(Gate.CLOSED);
  }

  /** Discards further bytes. */
  void discard() {
    decoder.setGate(Gate.DISCARDING);
    decoder.forgetHead();
  }

  /** Decodes the next request. */
  void resume(Channel channel) {
    bytesOfRequest = decoder.undecodedBytes();
    try {
      decoder.resume(channel.pipeline().context(decoder));
    } catch (Exception failure) {
      channel.pipeline().fireExceptionCaught(failure);
    }
    updateReading(channel);
  }

  /** Returns the bytes of memory that the input takes. */
  long heldBytes(boolean inHead) {
    long head = inHead ? ConnectionMemory.headCost(decodedBytes(), decoder.fieldCount()) : 0;
    return decoder.bufferBytes() + head;
  }
}
