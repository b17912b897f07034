package dev.agatepier.standin.process;

import static org.testng.Assert.assertEquals;

import dev.agatepier.cli.process.SettingsReader;
import dev.agatepier.wire.process.CommonSettings;
import dev.agatepier.wire.process.SidecarSettings;
import java.nio.file.Files;
import java.nio.file.Path;
import org.testng.annotations.Test;

/** The programs' own reader accepts the settings that a fleet writes. */
public class FleetNodeTest {

  private static final Endpoint PLATFORM = new Endpoint("127.0.9.1", 7_000);

  @Test
  public void programsReadTheSettingsOfNodes() throws Exception {
    FleetNode router = FleetNode.router("r", "kolkata-a", "kolkata", "127.0.5.1");
    FleetNode sidecar =
        FleetNode.sidecar("s", "kolkata-a", "kolkata", "desk", Endpoint.onFreePort("127.0.5.2"));
    CommonSettings common = SettingsReader.readRouter(write(router)).common();
    assertEquals(common.links().port(), router.links().port());
    assertEquals(common.platformAddress(), PLATFORM.httpUrl(""));
    SidecarSettings settings = SettingsReader.readSidecar(write(sidecar));
    assertEquals(settings.service(), "desk");
    assertEquals(settings.upstream().port(), sidecar.front().port());
  }

  private static Path write(FleetNode node) throws Exception {
    Path folder = Files.createTempDirectory("agatepier-settings");
    ProcessFleet fleet = new ProcessFleet(folder);
    fleet.start().join();
    fleet.stop().join();
    return Files.writeString(
        folder.resolve("settings.json"),
        node.settingsJson(
            fleet.keyFile().toString(), fleet.secretFile().toString(), PLATFORM.httpUrl("")));
  }
}
