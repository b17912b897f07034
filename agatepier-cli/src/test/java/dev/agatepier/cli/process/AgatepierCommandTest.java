package dev.agatepier.cli.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import dev.agatepier.wire.request.Digests;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class AgatepierCommandTest {

  private static final String HEADER =
      "workspace,weight,key_digest,max_waiting,max_running,max_cost_per_minute,services\n";
  private static final String ROW = "strings,4," + "ab".repeat(32) + ",1,1,0,desk\n";

  private FakeReporter reporter;
  private Path folder;

  @BeforeMethod
  public void writeTables() throws IOException {
    reporter = new FakeReporter();
    folder = Files.createTempDirectory("tables");
    Files.writeString(folder.resolve("good.csv"), HEADER + ROW);
    Files.writeString(folder.resolve("heavy.csv"), HEADER + ROW.replace(",4,", ",9,"));
    Files.writeString(folder.resolve("bad.csv"), HEADER + ROW.replace(",4,", ",none,"));
    Files.writeString(
        folder.resolve("services.csv"),
        "service,kind,idempotent_calls,deadline_seconds,retry_share\ndesk,plain,GET /,30,0.1\n");
    Files.writeString(folder.resolve("key"), "administration-key-1");
  }

  @DataProvider
  public Object[][] commandLines() {
    return new Object[][] {
      {"table check F/good.csv F/services.csv", 0, "1 workspaces and 1 services, valid"},
      {"table check S/tanpura/workspaces.csv S/tanpura/services.csv", 0, "6 workspaces and 2 serv"},
      {"table check S/beridze/workspaces.csv S/beridze/services.csv", 0, "5 workspaces and 2 serv"},
      {
        "table check S/mistakes/workspaces.csv S/mistakes/services.csv",
        1,
        "csv:5:93: the service 'plan-modell'"
      },
      {"table check F/bad.csv F/services.csv", 1, "F/bad.csv:2:9: the weight must be"},
      {"table check F/none.csv F/services.csv", 1, "F/none.csv:0:0: the file cannot be read"},
      {"table check F/good.csv", 2, "name the workspaces file and the services file"},
      {"table show F/good.csv F/services.csv", 0, "table version 0"},
      {"table diff F/good.csv F/services.csv --against F/good.csv F/services.csv", 0, ""},
      {
        "table diff F/heavy.csv F/services.csv --against F/good.csv F/services.csv",
        1,
        "changed workspaces strings\n  - weight=4.0\n  + weight=9.0"
      },
      {"table show --platform http://127.0.0.1:1", 3, "the platform cannot be read"},
      {"key Strings", 2, "'Strings' is not a valid workspace name"},
      {"status --key-file F/key", 2, "one of the arguments --address --instances is required"},
      {"status --address 127.0.0.1:x --key-file F/key", 2, "--address: '127.0.0.1:x' is not"},
      {"status --address 127.0.0.1:1 --key-file F/none", 2, "--key-file: the file cannot be read"},
      {"status --address 127.0.0.1:1 --key-file F/key", 3, "127.0.0.1:1 cannot be reached"},
      {"explain nonsense --address 127.0.0.1:1 --key-file F/key", 2, "'nonsense' is not a request"},
      {"drain --instances http://127.0.0.1:1 --key-file F/key", 2, "name the instances to drain"},
      {"watch --timeout 0 --address 127.0.0.1:1 --key-file F/key", 4, "not every process runs"},
      {"router --settings F/key", 2, "$: is not valid JSON"},
      {"router --settings F/key --cores 2 --core-share 0.75", 2, "$: is not valid JSON"},
      {"router --settings F/key --cores 0", 2, "processor settings: cores 0 must be from 1"},
      {
        "router --settings F/key --default slots.evenLoad=true --default slots.coldSlack=5",
        2,
        "$: is not valid JSON"
      },
      {"router --settings F/key --default regions", 2, "--default must be FIELD=JSON"},
      {"sail", 2, "invalid choice: 'sail'"},
    };
  }

  @Test(dataProvider = "commandLines")
  public void commandReturnsExitCodeAndOutput(String line, int code, String output) {
    assertEquals(run(line), code, reporter.errors.toString());
    String printed = String.join("\n", reporter.lines) + String.join("\n", reporter.errors);
    assertTrue(printed.contains(output.replace("F/", folder + "/")), printed);
  }

  @Test
  public void keyCommandPrintsTheDigestOfTheWholeKey() {
    assertEquals(run("key strings --json"), 0);
    String key = reporter.values.getFirst().path("key").asText();
    assertTrue(key.startsWith("strings:"), "the key must start with the workspace");
    assertEquals(reporter.values.getFirst().path("digest").asText(), Digests.of(key));
  }

  private int run(String line) {
    String[] arguments =
        line.replace("F/", folder + "/").replace("S/", "../config/sample/").split(" ");
    return AgatepierCommand.run(arguments, reporter, settings -> 0, settings -> 0);
  }
}
