package dev.agatepier.wire;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;

/** Blocking TCP connection for tests that write and read raw bytes. */
public final class RawSocket implements AutoCloseable {

  private static final int TIMEOUT_MILLIS = 20_000;

  private final Socket socket;
  private final InputStream input;

  public RawSocket(Socket socket) {
    try {
      this.socket = socket;
      socket.setSoTimeout(TIMEOUT_MILLIS);
      input = new BufferedInputStream(socket.getInputStream());
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }

  public static RawSocket connect(int port) {
    try {
      return new RawSocket(new Socket(InetAddress.getLoopbackAddress(), port));
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }

  public void write(String text) {
    try {
      socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }

  /** Reads up to and including a terminator. */
  public String readUntil(String terminator) {
    String read = readUntilOrEnd(terminator);
    if (!read.endsWith(terminator)) {
      throw new IllegalStateException(
          "connection closed after " + read.length() + " bytes, before the terminator");
    }
    return read;
  }

  /** Reads up to and including a terminator, or until the peer closes or resets the connection. */
  public String readUntilOrEnd(String terminator) {
    StringBuilder read = new StringBuilder();
    while (read.length() < terminator.length()
        || read.indexOf(terminator, read.length() - terminator.length()) < 0) {
      int next = readByte();
      if (next < 0) {
        break;
      }
      read.append((char) next);
    }
    return read.toString();
  }

  /** Reads until the peer closes or resets the connection. */
  public String readAll() {
    ByteArrayOutputStream read = new ByteArrayOutputStream();
    for (int next = readByte(); next >= 0; next = readByte()) {
      read.write(next);
    }
    return read.toString(StandardCharsets.UTF_8);
  }

  /** Reads until the peer ends the connection; returns whether it was reset. */
  public boolean endsWithReset() {
    try {
      while (input.read() >= 0) {
        // The content does not matter.
      }
      return false;
    } catch (SocketException reset) {
      return true;
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }

  /** Ends the output with a clean close and keeps the input open. */
  public void shutDownOutput() {
    try {
      socket.shutdownOutput();
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }

  /** Closes the connection with a TCP reset. */
  public void reset() {
    try {
      socket.setSoLinger(true, 0);
      socket.close();
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }

  private int readByte() {
    try {
      return input.read();
    } catch (SocketException reset) {
      return -1;
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
