package dev.agatepier.wire.version;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.csv.CsvFactory;
import com.fasterxml.jackson.dataformat.csv.CsvParser;
import dev.agatepier.core.version.TableCell;
import dev.agatepier.core.version.TableCheckResult;
import dev.agatepier.core.version.TableChecker;
import dev.agatepier.core.version.TableMistake;
import dev.agatepier.core.version.TablePage;
import dev.agatepier.wire.version.internal.CsvCellLocator;
import dev.agatepier.wire.version.internal.StrictUtf8Decoder;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** Decodes the CSV pages of a table and checks them. */
public final class TableReader implements TableFormat {

  /** Most bytes of one page. */
  public static final int MAXIMUM_PAGE_BYTES = 1_048_576;

  private static final int MAXIMUM_CELLS_PER_ROW = 64;

  private final CsvFactory factory =
      CsvFactory.builder().enable(CsvParser.Feature.SKIP_EMPTY_LINES).build();

  @Override
  public TableCheckResult read(long version, List<RawPage> pages) {
    List<TableMistake> mistakes = new ArrayList<>();
    List<TablePage> decoded = pages.stream().map(page -> decode(page, mistakes)).toList();
    if (!mistakes.isEmpty()) {
      return new TableCheckResult.Refused(mistakes);
    }
    return TableChecker.check(version, decoded);
  }

  private TablePage decode(RawPage page, List<TableMistake> mistakes) {
    List<List<TableCell>> rows = new ArrayList<>();
    if (page.content().size() > MAXIMUM_PAGE_BYTES) {
      mistakes.add(
          new TableMistake(
              page.name(), 0, 0, "the page is larger than " + MAXIMUM_PAGE_BYTES + " bytes"));
      return new TablePage(page.name(), rows);
    }
    try {
      String text = StrictUtf8Decoder.decode(page.content().array());
      readRows(text, rows);
    } catch (JsonProcessingException failure) {
      JsonLocation place = failure.getLocation();
      int line = place == null ? 0 : place.getLineNr();
      int column = place == null ? 0 : place.getColumnNr();
      mistakes.add(new TableMistake(page.name(), line, column, failure.getOriginalMessage()));
    } catch (StrictUtf8Decoder.MalformedUtf8Exception failure) {
      mistakes.add(new TableMistake(page.name(), failure.line(), 0, "the text is not UTF-8"));
    } catch (IOException failure) {
      mistakes.add(new TableMistake(page.name(), 0, 0, "the page cannot be decoded"));
    }
    return new TablePage(page.name(), rows);
  }

  private void readRows(String text, List<List<TableCell>> rows) throws IOException {
    CsvCellLocator places = new CsvCellLocator(text);
    try (CsvParser parser = factory.createParser(text)) {
      for (JsonToken token = parser.nextToken(); token != null; token = parser.nextToken()) {
        if (token == JsonToken.START_ARRAY) {
          rows.add(readRow(parser, places));
        }
      }
    }
  }

  private static List<TableCell> readRow(CsvParser parser, CsvCellLocator places)
      throws IOException {
    List<TableCell> cells = new ArrayList<>();
    places.startRow();
    for (JsonToken token = parser.nextToken();
        token != null && token != JsonToken.END_ARRAY;
        token = parser.nextToken()) {
      if (cells.size() < MAXIMUM_CELLS_PER_ROW) {
        cells.add(new TableCell(parser.getText(), places.line(), places.column()));
      }
      places.skipCell();
    }
    return cells;
  }
}
