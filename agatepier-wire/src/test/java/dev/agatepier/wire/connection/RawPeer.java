package dev.agatepier.wire.connection;

import dev.agatepier.core.connection.LinkMessage;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketException;

/** The other end of a link over a plain socket, which says whatever a test wants. */
final class RawPeer implements AutoCloseable {

  private static final int PATIENCE_MILLIS = 20_000;

  private final MessageCodec codec = new MessagePackCodec();
  private final Socket socket;
  private final DataInputStream input;
  private final DataOutputStream output;

  RawPeer(int port) {
    try {
      socket = new Socket(InetAddress.getLoopbackAddress(), port);
      socket.setSoTimeout(PATIENCE_MILLIS);
      input = new DataInputStream(socket.getInputStream());
      output = new DataOutputStream(socket.getOutputStream());
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }

  void send(LinkMessage message) {
    sendFrame(codec.encode(message));
  }

  void sendFrame(byte[] content) {
    try {
      output.writeInt(content.length);
      output.write(content);
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }

  void sendFrameLength(int length) {
    try {
      output.writeInt(length);
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }

  LinkMessage read() {
    try {
      byte[] content = new byte[input.readInt()];
      input.readFully(content);
      return codec.decode(content);
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }

  /** Reads until the other end closes. */
  void awaitClose() {
    try {
      while (input.read() >= 0) {
        input.skipNBytes(input.available());
      }
    } catch (EOFException | SocketException closed) {
      return;
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }

  @Override
  public void close() {
    try {
      socket.close();
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }
}
