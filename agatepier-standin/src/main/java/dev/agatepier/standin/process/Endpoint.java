package dev.agatepier.standin.process;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.Objects;

/**
 * Where a process listens.
 *
 * @param address IP number
 * @param port TCP port
 */
public record Endpoint(String address, int port) {

  /** Checks that the address is present. */
  public Endpoint {
    Objects.requireNonNull(address, "address");
  }

  /** Returns an endpoint whose port the system says is free. */
  public static Endpoint onFreePort(String address) {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(address))) {
      return new Endpoint(address, socket.getLocalPort());
    } catch (IOException unavailable) {
      throw new IllegalStateException("no free port at " + address, unavailable);
    }
  }

  /** Returns the HTTP address of a path, which begins with a slash. */
  public String httpUrl(String path) {
    return "http://" + this + path;
  }

  /** Reads an endpoint written as {@code address:port}. */
  public static Endpoint parse(String text) {
    int colon = text.lastIndexOf(':');
    if (colon < 1) {
      throw new IllegalArgumentException(text + " is not ADDRESS:PORT");
    }
    return new Endpoint(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
  }

  @Override
  public String toString() {
    return address + ":" + port;
  }
}
