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

/** One end of a connection, byte by byte. */
public final class RawSocket implements AutoCloseable {

  private static final int PATIENCE_MILLIS = 20_000;

  private final Socket socket;
  private final InputStream input;

  public RawSocket(Socket socket) {
    try {
      this.socket = socket;
      socket.setSoTimeout(PATIENCE_MILLIS);
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

  /** Reads up to and with an end mark. */
  public String readUntil(String mark) {
    StringBuilder read = new StringBuilder();
    while (read.length() < mark.length() || read.indexOf(mark, read.length() - mark.length()) < 0) {
      int next = readByte();
      if (next < 0) {
        throw new IllegalStateException("closed after " + read.length() + " bytes");
      }
      read.append((char) next);
    }
    return read.toString();
  }

  /** Reads until the other end closes, by either way of closing. */
  public String readAll() {
    ByteArrayOutputStream read = new ByteArrayOutputStream();
    for (int next = readByte(); next >= 0; next = readByte()) {
      read.write(next);
    }
    return read.toString(StandardCharsets.UTF_8);
  }

  /** Makes the other end see a reset. */
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
