package dev.agatepier.core.version.internal;

import dev.agatepier.core.version.Limits;
import dev.agatepier.core.version.TableBounds;
import dev.agatepier.core.version.TablePage;
import dev.agatepier.core.version.Workspace;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;

/** Parses the rows of the workspaces file. */
public final class WorkspaceRows extends RowsReader<Workspace> {

  private static final List<String> HEADER =
      List.of(
          "workspace",
          "weight",
          "key_digest",
          "max_waiting",
          "max_running",
          "max_cost_per_minute",
          "services");

  private static final double MINIMUM_WEIGHT = 0.001;
  private static final double MAXIMUM_WEIGHT = 1_000_000;
  private static final int MAXIMUM_REQUESTS = 1_000_000;
  private static final double MAXIMUM_COST_PER_MINUTE = 1e12;
  private static final int MAXIMUM_SERVICES_PER_WORKSPACE = 100;
  private static final int MAXIMUM_KEYS = 2;
  private static final Pattern DIGEST = Pattern.compile("[0-9a-f]{64}");

  private final Set<String> knownServices;

  /** Creates a parser of rows that may name only the given services. */
  public WorkspaceRows(MistakeList mistakes, Set<String> knownServices) {
    super(TablePage.WORKSPACES_PREFIX, HEADER, TableBounds.MAXIMUM_WORKSPACES, mistakes);
    this.knownServices = knownServices;
  }

  @Override
  Workspace readRow(RowReader row, String name) {
    double weight = row.number(1, "the weight", MINIMUM_WEIGHT, MAXIMUM_WEIGHT);
    List<String> digests = readDigests(row);
    Limits limits =
        new Limits(
            row.integer(3, "max_waiting", 0, MAXIMUM_REQUESTS),
            row.integer(4, "max_running", 0, MAXIMUM_REQUESTS),
            row.number(5, "max_cost_per_minute", 0, MAXIMUM_COST_PER_MINUTE));
    Set<String> services = readServices(row);
    return row.isValid() ? new Workspace(name, weight, digests, limits, services) : null;
  }

  private static List<String> readDigests(RowReader row) {
    List<String> digests = row.list(2, MAXIMUM_KEYS);
    if (row.text(2).isEmpty() || !digests.stream().allMatch(DIGEST.asMatchPredicate())) {
      row.reject(2, "the key digest must be 64 lower-case hexadecimal digits");
    }
    return digests;
  }

  private Set<String> readServices(RowReader row) {
    Set<String> services = new HashSet<>();
    for (String service : row.list(6, MAXIMUM_SERVICES_PER_WORKSPACE)) {
      if (!knownServices.contains(service)) {
        row.reject(6, "the service '" + service + "' is not in the services file");
      } else if (!services.add(service)) {
        row.reject(6, "the service '" + service + "' is listed twice");
      }
    }
    return services;
  }
}
