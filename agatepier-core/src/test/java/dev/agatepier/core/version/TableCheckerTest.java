package dev.agatepier.core.version;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class TableCheckerTest {

  private static final String DIGEST = "0123456789abcdef".repeat(4);
  private static final String HEADER =
      "workspace,weight,key_digest,max_waiting,max_running,max_cost_per_minute,services";
  private static final String VALID_ROW = "strings,4," + DIGEST + ",200,50,0,plan-model";
  private static final String SERVICES =
      "service,kind,idempotent_calls,deadline_seconds,retry_share\n"
          + "plan-model,model,POST /v1/chat;GET /,120,0.1";

  @Test
  public void validPagesMakeOneVersion() {
    Table table = ((TableCheckResult.Accepted) check(HEADER + "\n" + VALID_ROW, SERVICES)).table();
    assertEquals(table.version(), 7);
    assertEquals(table.weight("strings"), 4.0);
    assertEquals(table.service("plan-model").orElseThrow().deadlineMillis(), 120_000);
  }

  @DataProvider
  public Object[][] badRows() {
    return new Object[][] {
      {"Strings,4,D,200,50,0,", "2:1", "a name has"},
      {"a".repeat(64) + ",4,D,200,50,0,", "2:1", "a name has"},
      {"strings,NaN,D,200,50,0,", "2:2", "the weight must be"},
      {"strings,0,D,200,50,0,", "2:2", "the weight must be"},
      {"strings,1e9,D,200,50,0,", "2:2", "the weight must be"},
      {"strings,4,abc,200,50,0,", "2:3", "the key digest must be"},
      {"strings,4,,200,50,0,", "2:3", "the key digest must be"},
      {"strings,4,E;E;E,200,50,0,", "2:3", "the list has more than 2 entries"},
      {"strings,4,D,-1,50,0,", "2:4", "max_waiting must be"},
      {"strings,4,D,1,5.5,0,", "2:5", "max_running must be"},
      {"strings,4,D,1,5,Infinity,", "2:6", "max_cost_per_minute must be"},
      {"strings,4,D,1,5,0,opera", "2:7", "the service 'opera' is not in"},
      {
        "strings,4,D,1,5,0,plan-model;plan-model", "2:7", "the service 'plan-model' is listed twice"
      },
      {"strings,4,D,1,5", "2:1", "the row has 5 cells, not 7"},
      {VALID_ROW + "\n" + VALID_ROW, "3:1", "'strings' already appears in an earlier row"},
    };
  }

  @Test(dataProvider = "badRows")
  public void invalidRowIsReportedWithItsPosition(String row, String position, String reason) {
    List<TableMistake> mistakes = mistakes(HEADER + "\n" + row.replace(",D,", "," + DIGEST + ","));
    assertEquals(mistakes.size(), 1, mistakes.toString());
    TableMistake mistake = mistakes.getFirst();
    assertEquals(mistake.page() + ":" + position, "workspaces-1:" + position);
    assertEquals(mistake.line() + ":" + mistake.column(), position);
    assertEquals(mistake.reason().substring(0, reason.length()), reason);
  }

  @Test
  public void allMistakesAreReportedAtOnce() {
    assertEquals(mistakes(HEADER + "\nA,0,x,-1,-1,-1,opera\nB,0,x,-1,-1,-1,opera").size(), 14);
    assertEquals(mistakes("workspace,weight").getFirst().line(), 1);
  }

  @Test
  public void mistakeInOneServiceIsReportedOnce() {
    TableCheckResult reading =
        check(HEADER + "\n" + VALID_ROW, SERVICES.replace(",model,", ",modal,"));
    assertEquals(((TableCheckResult.Refused) reading).mistakes().size(), 1, reading.toString());
  }

  private static List<TableMistake> mistakes(String workspaces) {
    return ((TableCheckResult.Refused) check(workspaces, SERVICES)).mistakes();
  }

  private static TableCheckResult check(String workspaces, String services) {
    return TableChecker.check(
        7, List.of(page("workspaces-1", workspaces), page("services-1", services)));
  }

  private static TablePage page(String name, String text) {
    List<List<TableCell>> rows = new ArrayList<>();
    int line = 0;
    for (String row : text.split("\n")) {
      line++;
      List<TableCell> cells = new ArrayList<>();
      for (String cell : row.split(",", -1)) {
        cells.add(new TableCell(cell, line, cells.size() + 1));
      }
      rows.add(cells);
    }
    return new TablePage(name, rows);
  }
}
