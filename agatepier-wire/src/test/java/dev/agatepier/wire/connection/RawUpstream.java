package dev.agatepier.wire.connection;

import dev.agatepier.wire.RawSocket;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;

/** Server socket of an upstream; the test writes the raw bytes of every response. */
final class RawUpstream implements AutoCloseable {

  private final ServerSocket server;

  RawUpstream() {
    try {
      server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
      server.setSoTimeout(20_000);
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }

  int port() {
    return server.getLocalPort();
  }

  RawSocket accept() {
    try {
      return new RawSocket(server.accept());
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }

  @Override
  public void close() {
    try {
      server.close();
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }
}
