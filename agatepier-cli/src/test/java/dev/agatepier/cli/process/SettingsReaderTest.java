package dev.agatepier.cli.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.expectThrows;

import dev.agatepier.core.process.RouterPolicy;
import dev.agatepier.core.version.DataCentreRegions;
import dev.agatepier.wire.process.LimitSettings;
import dev.agatepier.wire.process.ProcessorSettings;
import dev.agatepier.wire.process.RouterSettings;
import dev.agatepier.wire.process.Secret;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class SettingsReaderTest {

  private static final String ROUTER =
      "{'instance':'r1','dataCentre':'kolkata-a','region':'kolkata',"
          + "'callers':{'address':'127.0.0.1','port':8080},"
          + "'links':{'address':'127.0.0.1','port':9000},"
          + "'administration':{'address':'127.0.0.1','port':9001,'keyFile':'key'},"
          + "'platform':{'address':'http://127.0.0.1:7000'},"
          + "'security':{'secretFile':'secret'},"
          + "'policy':{'attempts':2}}";

  private Path folder;

  @BeforeMethod
  public void makeFiles() throws IOException {
    folder = Files.createTempDirectory("settings");
    Files.writeString(folder.resolve("key"), "administration-key-1\n");
    Files.writeString(folder.resolve("secret"), "shared-secret-of-the-fleet\n");
    Files.writeString(folder.resolve("short"), "short\n");
  }

  @Test
  public void readsValidSettingsWithDefaults() throws IOException {
    RouterSettings settings = SettingsReader.readRouter(write(ROUTER));
    assertEquals(settings.policy().attempts(), 2);
    assertEquals(settings.policy().windowBytes(), RouterPolicy.DEFAULT.windowBytes());
    assertFalse(settings.slots().evenLoad());
    assertEquals(settings.common().secret(), new Secret("shared-secret-of-the-fleet"));
    assertEquals(settings.common().secret().toString(), "secret");
  }

  @Test
  public void readsFractionsOfDurationsAndOfRetrySlack() throws IOException {
    RouterSettings settings =
        SettingsReader.readRouter(
            write(
                ROUTER.replace(
                    "'attempts':2",
                    "'retrySlack':27.5,'retryWindowSeconds':2.5,'spillMillis':250.6")));
    assertEquals(settings.policy().retrySlack(), 27.5);
    assertEquals(settings.policy().retryWindowMillis(), 2_500);
    assertEquals(settings.policy().spillMillis(), 251);
  }

  @Test
  public void processorTimeOfTheFilePrecedesTheDefault() throws IOException {
    SettingsDefaults machine = new SettingsDefaults(new ProcessorSettings(2, 0.75), Map.of());
    assertEquals(
        SettingsReader.readRouter(write(ROUTER), machine).common().processor(),
        machine.processor());
    Path file = write(ROUTER.replace("{'instance'", "{'processor':{'cores':4},'instance'"));
    assertEquals(
        SettingsReader.readRouter(file, machine).common().processor(),
        new ProcessorSettings(4, 0.75));
  }

  /** Guards against defaults that replace what a file states, or that are not checked. */
  @Test
  public void fieldsOfTheFilePrecedeTheDefaults() throws IOException {
    SettingsDefaults defaults =
        new SettingsDefaults(
            ProcessorSettings.DEFAULT,
            Map.of(
                "slots.coldOverage", "1.5", "regions", "{\"a1\":\"a\"}", "slots.coldSlack", "-1"));
    Path file = write(ROUTER.replace("'policy':", "'slots':{'coldSlack':5},'policy':"));
    RouterSettings settings = SettingsReader.readRouter(file, defaults);
    assertEquals(settings.slots().coldOverage(), 1.5);
    assertEquals(settings.slots().coldSlack(), 5.0);
    assertEquals(settings.dataCentres(), new DataCentreRegions(Map.of("a1", "a")));
    Path without = write(ROUTER);
    expectThrows(SettingsException.class, () -> SettingsReader.readRouter(without, defaults));
  }

  /** Guards against a limit that is misspelt or out of range and silently does nothing. */
  @Test
  public void readsLimitsOnWhatCallersMakeTheProcessHold() throws IOException {
    String limits = "{'limits':{'memoryBytes':9000000,'progressSeconds':2.5},'instance'";
    Path file = write(ROUTER.replace("{'instance'", limits));
    LimitSettings read = SettingsReader.readRouter(file).common().limits();
    assertEquals(read.memoryBytes(), 9_000_000);
    assertEquals(read.progressMillis(), 2_500);
    assertEquals(read.headerFields(), LimitSettings.DEFAULT.headerFields());
  }

  @DataProvider
  public Object[][] mistakes() {
    return new Object[][] {
      {"{'instance'", "{'limits':{'headerFields':9},'instance'", "$.limits: headerFields must be"},
      {"'instance':'r1',", "", "$.instance: is missing"},
      {"'instance':'r1'", "'instance':'R 1'", "$.instance: must be a name"},
      {"'port':8080", "'port':'8080'", "$.callers.port: must be an integer"},
      {"'port':8080", "'port':65536", "$.callers.port: must be from 0 to 65535, but is 65536"},
      {"'127.0.0.1','port':8080", "'localhost','port':8080", "$.callers.address: must be an IP"},
      {
        "'attempts':2",
        "'attempts':0",
        "$.policy: router policy: sidecarsPerService 16, attempts 0, quarantineDeaths 3,"
            + " windowBytes 262144: each must be at least 1"
      },
      {"'attempts':2", "'attempts':'2s'", "$.policy.attempts: must be an integer"},
      {"'attempts':2", "'tries':2", "$.policy.tries: is not a known field"},
      {"'attempts':2", "'attempts':2.5", "$.policy.attempts: must be an integer"},
      {"'attempts':2", "'retrySlack':-0.5", "$.policy: router policy: retryWindowMillis"},
      {"'attempts':2", "'retryWindowSeconds':'10'", "$.policy.retryWindowSeconds: must be a num"},
      {"'attempts':2", "'spillMillis':-1", "$.policy: router policy: spillMillis -1"},
      {
        "'attempts':2",
        "'spillMillis':1,'spillSeconds':2",
        "$.policy.spillSeconds: must not be set together with spillMillis"
      },
      {
        "'policy':",
        "'slots':{'admission':'soon'},'policy':",
        "$.slots: slot allocator policy: admission soon must be arrival, first-attempt or"
      },
      {
        "'policy':",
        "'slots':{'evenLoad':'true'},'policy':",
        "$.slots.evenLoad: must be true or false"
      },
      {"'policy':", "'regions':{'a1':'A B'},'policy':", "$.regions.a1: must be a name of 1 to 63"},
      {"'policy':", "'regions':['a1'],'policy':", "$.regions: must be an object"},
      {"'policy':", "'polity':", "$.polity: is not a known field"},
      {
        "'policy':", "'stop':{'graceMillis':'1s'},'policy':", "$.stop.graceMillis: must be a number"
      },
      {
        "'policy':",
        "'versions':{'evacuations':'yes'},'policy':",
        "$.versions.evacuations: must be true or false"
      },
      {
        "'policy':", "'slots':{'coldOverage':-1},'policy':", "$.slots: slot allocator policy: coldO"
      },
      {"'policy':", "'slots':{'coldSlack':'5'},'policy':", "$.slots.coldSlack: must be a number"},
      {"'policy':", "'stop':{'timeoutMillis':0},'policy':", "$.stop: graceMillis must be from 0"},
      {"'keyFile':'key'", "'keyFile':'none'", "$.administration.keyFile: the file cannot be read"},
      {
        "'secretFile':'secret'",
        "'secretFile':'short'",
        "$.security.secretFile: the secret has fewer"
      },
      {"http://127.0.0.1:7000", "127.0.0.1:7000", "$.platform.address: must be http"},
      {"'links':{'address':'127.0.0.1','port':9000}", "'links':3", "$.links: must be an object"},
      {
        "'instance':'r1',",
        "'instance':'r1','instance':'r2',",
        "$: is not valid JSON (line 1, column 2"
      },
    };
  }

  @Test(dataProvider = "mistakes")
  public void reportsMistakeWithItsPath(String valid, String invalid, String message)
      throws IOException {
    Path file = write(ROUTER.replace(valid, invalid));
    SettingsException failure =
        expectThrows(SettingsException.class, () -> SettingsReader.readRouter(file));
    assertEquals(failure.mistakes().size(), 1, failure.getMessage());
    assertEquals(failure.getMessage().substring(0, message.length()), message);
  }

  @Test
  public void reportsAllMistakesAtOnce() throws IOException {
    Path file = write("{'instance':3,'service':'plan-model','upstream':{'port':-1}}");
    SettingsException failure =
        expectThrows(SettingsException.class, () -> SettingsReader.readSidecar(file));
    assertEquals(
        failure.mistakes().stream().map(SettingsMistake::path).sorted().toList().toString(),
        "[$.administration, $.dataCentre, $.instance, $.links, $.platform, $.region, $.security,"
            + " $.upstream.address, $.upstream.port]");
  }

  private Path write(String settings) throws IOException {
    return Files.writeString(folder.resolve("settings.json"), settings.replace('\'', '"'));
  }
}
