package dev.agatepier.standin.process;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.Objects;

/**
 * TCP endpoint on which a process listens.
 *
 * @param address IP address
 * @param port TCP port
 */
public record Endpoint(String address, int port) {

  /** Rejects a null address. */
  public Endpoint {
    Objects.requireNonNull(address, "address");
  }

  /**
   * Returns an endpoint with a port that the operating system reports as free. The port is not
   * reserved.
   */
  public static Endpoint onFreePort(String address) {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(address))) {
      return new Endpoint(address, socket.getLocalPort());
    } catch (IOException unavailable) {
      throw new IllegalStateException("no free port at address " + address, unavailable);
    }
  }

  /** Returns the HTTP URL of a path, which begins with a slash. */
  public String httpUrl(String path) {
    return "http://" + this + path;
  }

  /**
   * Parses {@code address:port}.
   *
   * @throws IllegalArgumentException if the text has no colon or the port is not a number
   */
  public static Endpoint parse(String text) {
    int colon = text.lastIndexOf(':');
    if (colon < 1) {
      throw new IllegalArgumentException(
          "endpoint \"" + text + "\" is not of the form ADDRESS:PORT");
    }
    return new Endpoint(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
  }

  @Override
  public String toString() {
    return address + ":" + port;
  }
}
