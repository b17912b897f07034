import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;

/** A router of the project: a process with the command and the settings template of the deploy file. */
final class Router {

  final String name;
  final String zone;
  final String address;
  final int frontend;
  private final int readiness;
  private final int links;
  private final int administration;
  private final Path directory;
  private Process process;

  Router(String name, String zone, int number, Path directory) throws IOException {
    this(name, zone, number, directory, 0);
  }

  /**
   * Creates a router.
   *
   * @param firstPort first port of the port_range of all machines; 0 for any free one
   */
  Router(String name, String zone, int number, Path directory, int firstPort) throws IOException {
    this.name = name;
    this.zone = zone;
    this.directory = directory;
    address = Loopback.address(7, number);
    List<ServerSocket> sockets = new ArrayList<>();
    for (int count = 0; count < 4; count++) {
      sockets.add(new ServerSocket(0, 1, InetAddress.getByName(address)));
    }
    frontend = sockets.get(0).getLocalPort();
    readiness = sockets.get(1).getLocalPort();
    links = sockets.get(2).getLocalPort();
    administration = firstPort == 0 ? sockets.get(3).getLocalPort() : firstPort;
    for (ServerSocket socket : sockets) {
      socket.close();
    }
  }

  /** Starts the process; {@code bounds} are those of the deployment's sheet. */
  void start(List<Router> seeds, Store store, Map<String, String> bounds) throws IOException {
    Map<String, String> values = new HashMap<>();
    bounds.forEach((bound, value) -> values.put("bounds." + bound, value));
    values.put("node_name", name);
    values.put("zone", zone);
    values.put("region", zone);
    values.put("ip", address);
    values.put("listeners_map.frontend", address + ":" + frontend);
    values.put("listeners_map.readiness", address + ":" + readiness);
    values.put("listeners_map.control_plane", address + ":" + links);
    values.put("port_range.0", Integer.toString(administration));
    values.put("platform.address", "127.0.0.1:" + store.port());
    values.put(
        "seeds|json",
        seeds.stream().map(seed -> "\"" + seed.address + ":" + seed.links + "\"").toList().toString());
    String settings = Files.readString(Path.of("deploy/router.json"));
    settings = Pattern.compile("\\{\\{\\^[^}]*}}.*?\\{\\{/[^}]*}}").matcher(settings).replaceAll("");
    settings = settings.replaceAll("\\{\\{[#/][^}]*}}", "");
    for (Map.Entry<String, String> value : values.entrySet()) {
      settings = settings.replace("{{" + value.getKey() + "}}", value.getValue());
    }
    if (settings.contains("{{")) {
      throw new IllegalStateException("a placeholder has no value: " + settings);
    }
    Path file = Files.writeString(directory.resolve(name + ".json"), settings);
    ProcessBuilder builder =
        new ProcessBuilder(
            "target/runtime/bin/java",
            "@target/java.args",
            "dev.agatepier.platform.process.PlatformRouter",
            "router",
            "--settings",
            file.toString());
    builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
    builder.environment().put("AGATEPIER_SETTINGS", file.toString());
    builder.environment().put("AGATEPIER_CORES", "1");
    builder.environment().put("AGATEPIER_CORE_SHARE", "0.57");
    builder.environment().put("AGATEPIER_DESCRIPTORS", "4100");
    builder.environment().put("AGATEPIER_REGIONS", "{\"" + zone + "\":\"" + zone + "\"}");
    builder.redirectErrorStream(true);
    builder.redirectOutput(directory.resolve(name + ".log").toFile());
    process = builder.start();
    Process started = process;
    Runtime.getRuntime().addShutdownHook(new Thread(started::destroyForcibly));
  }

  Process process() {
    return process;
  }

  /** Sends a signal to the process. */
  void signal(String signal) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
  }

  /** Returns whether the router reports that it is ready. */
  boolean isReady() {
    try (Socket socket = new Socket(address, readiness)) {
      socket.setSoTimeout(1_000);
      socket
          .getOutputStream()
          .write("GET /v1/readyz HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n".getBytes());
      Http.Message answer = new Http.Reader(socket.getInputStream()).readMessage(false);
      return answer != null && answer.status() == 200;
    } catch (IOException notListening) {
      return false;
    }
  }

  /** Waits until the router is ready. */
  void awaitReady() throws InterruptedException {
    for (int tries = 0; tries < 300; tries++) {
      if (isReady()) {
        return;
      }
      Thread.sleep(100);
    }
    throw new IllegalStateException("router " + name + " is not ready");
  }
}
