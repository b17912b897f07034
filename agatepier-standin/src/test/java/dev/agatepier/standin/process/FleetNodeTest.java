package dev.agatepier.standin.process;

import static org.testng.Assert.assertEquals;

import dev.agatepier.cli.process.SettingsReader;
import dev.agatepier.wire.process.CommonSettings;
import dev.agatepier.wire.process.SidecarSettings;
import java.nio.file.Files;
import java.nio.file.Path;
import org.testng.annotations.Test;

/** Reads the settings that a fleet writes with the settings reader of the programs. */
public class FleetNodeTest {

  private static final Endpoint PLATFORM = new Endpoint("127.0.9.1", 7_000);

  @Test
  public void settingsReaderAcceptsSettingsOfNodes() throws Exception {
    FleetNode router = FleetNode.router("r", "kolkata-a", "kolkata", "127.0.5.1");
    FleetNode sidecar =
        FleetNode.sidecar("s", "kolkata-a", "kolkata", "desk", Endpoint.onFreePort("127.0.5.2"));
    CommonSettings common = SettingsReader.readRouter(writeSettings(router)).common();
    assertEquals(common.links().port(), router.links().port());
    assertEquals(common.platformAddress(), PLATFORM.httpUrl(""));
    SidecarSettings settings = SettingsReader.readSidecar(writeSettings(sidecar));
    assertEquals(settings.service(), "desk");
    assertEquals(settings.upstream().port(), sidecar.front().port());
  }

  private static Path writeSettings(FleetNode node) throws Exception {
    Path directory = Files.createTempDirectory("agatepier-settings");
    ProcessFleet fleet = new ProcessFleet(directory);
    fleet.start().join();
    fleet.stop().join();
    return Files.writeString(
        directory.resolve("settings.json"),
        node.settingsJson(
            fleet.keyFile().toString(), fleet.secretFile().toString(), PLATFORM.httpUrl("")));
  }
}
