import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

/** The project's program beside an engine: a process with the command of the deploy file. */
final class OriginCache {

  private OriginCache() {}

  /** Starts the process at an address and the first port of the port_range. */
  static void start(String name, String address, int port, Path directory) throws IOException {
    ProcessBuilder builder =
        new ProcessBuilder(
            "target/runtime/bin/java",
            "@target/origin-cache.args",
            "dev.agatepier.platform.process.PlatformOriginCache",
            name,
            address,
            Integer.toString(port));
    builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
    builder.environment().put("AGATEPIER_SECRET", "links between routers on the platform");
    builder.redirectErrorStream(true);
    builder.redirectOutput(directory.resolve(name + ".log").toFile());
    Process process = builder.start();
    Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
  }
}
