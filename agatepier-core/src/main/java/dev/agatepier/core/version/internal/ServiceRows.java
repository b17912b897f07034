package dev.agatepier.core.version.internal;

import dev.agatepier.core.version.CallPattern;
import dev.agatepier.core.version.ServiceEntry;
import dev.agatepier.core.version.ServiceKind;
import dev.agatepier.core.version.TableBounds;
import dev.agatepier.core.version.TablePage;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses the rows of the services file. */
public final class ServiceRows extends RowsReader<ServiceEntry> {

  private static final List<String> HEADER =
      List.of("service", "kind", "idempotent_calls", "deadline_seconds", "retry_share");

  private static final int MAXIMUM_DEADLINE_SECONDS = 86_400;
  private static final int MAXIMUM_PATTERNS = 100;
  private static final long MILLIS_PER_SECOND = 1_000;
  private static final Pattern CALL = Pattern.compile("([A-Z]{1,16}) (/[!-~]{0,255})");

  /** Creates a parser that adds mistakes to the given list. */
  public ServiceRows(MistakeList mistakes) {
    super(TablePage.SERVICES_PREFIX, HEADER, TableBounds.MAXIMUM_SERVICES, mistakes);
  }

  @Override
  ServiceEntry readRow(RowReader row, String name) {
    ServiceKind kind = readKind(row);
    List<CallPattern> calls = readCalls(row);
    int deadlineSeconds = row.integer(3, "deadline_seconds", 1, MAXIMUM_DEADLINE_SECONDS);
    double retryShare = row.number(4, "retry_share", 0, 1);
    if (!row.isValid()) {
      return null;
    }
    return new ServiceEntry(name, kind, calls, deadlineSeconds * MILLIS_PER_SECOND, retryShare);
  }

  private static ServiceKind readKind(RowReader row) {
    return switch (row.text(1)) {
      case "model" -> ServiceKind.MODEL;
      case "plain" -> ServiceKind.PLAIN;
      default -> {
        row.reject(1, "the kind must be model or plain");
        yield ServiceKind.PLAIN;
      }
    };
  }

  private static List<CallPattern> readCalls(RowReader row) {
    List<CallPattern> calls = new ArrayList<>();
    for (String text : row.list(2, MAXIMUM_PATTERNS)) {
      Matcher call = CALL.matcher(text);
      if (call.matches()) {
        calls.add(new CallPattern(call.group(1), call.group(2)));
      } else {
        row.reject(2, "a call is a method, a space and a path that starts with '/'");
      }
    }
    return calls;
  }
}
