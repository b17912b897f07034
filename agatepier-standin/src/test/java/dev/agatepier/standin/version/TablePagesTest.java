package dev.agatepier.standin.version;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.testng.annotations.Test;

public class TablePagesTest {

  private static final int ROWS = 20_000;
  private static final int MEBIBYTE = 1 << 20;

  @Test
  public void everyRowIsOnOnePageUnderOneMebibyte() {
    List<TablePage> pages = TablePages.split("workspaces-", csv(-1));
    long rows = pages.stream().mapToLong(page -> page.content().lines().count() - 1).sum();
    assertEquals(rows, ROWS);
    for (TablePage page : pages) {
      assertTrue(page.content().startsWith("workspace,weight\n"));
      assertTrue(page.size() < MEBIBYTE, page.name());
    }
  }

  @Test
  public void oneChangedRowChangesOnePage() {
    Set<String> before = pageNames(csv(-1));
    Set<String> after = pageNames(csv(ROWS / 2));
    assertEquals(after.size(), before.size());
    Set<String> changed = new HashSet<>(after);
    changed.removeAll(before);
    assertEquals(changed.size(), 1);
  }

  private static Set<String> pageNames(String csv) {
    return TablePages.split("workspaces-", csv).stream()
        .map(TablePage::name)
        .collect(Collectors.toSet());
  }

  private static String csv(int changedRow) {
    return "workspace,weight\n"
        + IntStream.range(0, ROWS)
            .mapToObj(row -> "workspace-" + row + "," + (row == changedRow ? 9 : 1) + "\n")
            .collect(Collectors.joining());
  }
}
