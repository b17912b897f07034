package dev.agatepier.wire.version;

import static org.testng.Assert.assertEquals;

import dev.agatepier.core.request.Bytes;
import dev.agatepier.core.version.TableCheckResult;
import dev.agatepier.core.version.TableMistake;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class TableReaderTest {

  static final String DIGEST = "0123456789abcdef".repeat(4);
  static final String WORKSPACES =
      "workspace,weight,key_digest,max_waiting,max_running,max_cost_per_minute,services\n";
  static final String SERVICES =
      "service,kind,idempotent_calls,deadline_seconds,retry_share\nplan-model,model,,120,0.1\n";

  @DataProvider
  public Object[][] invalidPages() {
    return new Object[][] {
      {"\n\n\"strings\",0," + DIGEST + ",1,1,0,plan-model\n", "4:11"},
      {"strings,4," + DIGEST + ",1,1,0,\"plan-model;\nopera\"\nbrass,0,x,1,1,0,\n", "2:82 4:7 4:9"},
      {"strings,4,x,1,1,0,opera\r\nbrass,0," + DIGEST + ",1,1,0,\r\n", "2:11 2:19 3:7"},
      {"a,1," + DIGEST + ",1,1,0,\nb,,,,,,\n", "3:3 3:4 3:5 3:6 3:7"},
      {"café,1," + DIGEST + ",1,1,0,\n", "2:0"},
    };
  }

  @Test(dataProvider = "invalidPages")
  public void mistakesReportLineAndColumn(String rows, String positions) {
    TableCheckResult.Refused rejected = (TableCheckResult.Refused) read(WORKSPACES + rows);
    String found =
        String.join(
            " ",
            rejected.mistakes().stream()
                .map(mistake -> mistake.line() + ":" + mistake.column())
                .toList());
    assertEquals(found, positions, rejected.mistakes().toString());
  }

  @Test
  public void pageLargerThanMaximumIsRejected() {
    TableCheckResult.Refused rejected =
        (TableCheckResult.Refused) read("x".repeat(TableReader.MAXIMUM_PAGE_BYTES + 1));
    assertEquals(
        rejected.mistakes(),
        List.of(new TableMistake("workspaces-1", 0, 0, "the page is larger than 1048576 bytes")));
  }

  static TableCheckResult read(String workspaces) {
    byte[] content = workspaces.getBytes(StandardCharsets.ISO_8859_1);
    return new TableReader()
        .read(
            3,
            List.of(
                new TableReader.RawPage("workspaces-1", new Bytes(content)),
                new TableReader.RawPage("services-1", Bytes.ofText(SERVICES))));
  }
}
