package dev.agatepier.standin.process.internal;

import dev.agatepier.core.connection.VersionMessage;
import dev.agatepier.core.connection.VersionMessage.PageReference;
import dev.agatepier.core.request.Bytes;
import dev.agatepier.standin.version.TablePage;
import dev.agatepier.standin.version.TablePages;
import dev.agatepier.wire.connection.MessagePackCodec;
import dev.agatepier.wire.version.TableFormat.RawPage;
import dev.agatepier.wire.version.TableReader;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * Measures how the cost of a change of one table row for a process grows with the number of rows.
 */
final class TableSlope implements SlopeBenchmark {

  private static final int RUNS = 20;
  private static final double SECONDS_PER_CHANGE = 86_400 / 7_900.0;
  private static final String DIGEST = "9f86d081884c7d65".repeat(4);
  private static final String SERVICES =
      """
      service,kind,idempotent_calls,deadline_seconds,retry_share
      plan-model,model,POST /v1/chat/completions,120,0.1
      """;

  @Override
  public String name() {
    return "table-changes";
  }

  @Override
  public List<Integer> sizes() {
    return List.of(2_300, 6_900, 13_800, 23_000);
  }

  @Override
  public int target() {
    return 23_000;
  }

  @Override
  public List<SlopeMeasurement> measure(int size) {
    List<TablePage> pages = TablePages.split("workspaces-", csv(size));
    List<RawPage> rawPages =
        Stream.concat(pages.stream(), TablePages.split("services-", SERVICES).stream())
            .map(page -> new RawPage(page.name(), Bytes.ofText(page.content())))
            .toList();
    List<PageReference> references =
        rawPages.stream()
            .map(page -> new PageReference(page.name(), DIGEST, page.content().size()))
            .toList();
    MessagePackCodec codec = new MessagePackCodec();
    int manifest = codec.encode(new VersionMessage.ManifestTransfer(1, references)).length;
    double page = pages.stream().mapToInt(each -> each.content().length()).average().orElseThrow();
    TableReader reader = new TableReader();
    return List.of(
        new SlopeMeasurement("pages", "", rawPages.size()),
        new SlopeMeasurement("table", "KB", pages.size() * page / 1e3),
        new SlopeMeasurement("manifest", "KB", manifest / 1e3),
        new SlopeMeasurement("one page", "KB", page / 1e3),
        new SlopeMeasurement(
            "a change in 10.9 s", "B/s a node", (manifest + page) / SECONDS_PER_CHANGE),
        new SlopeMeasurement(
            "read", "ms", ProcessorTime.meanMillis(RUNS, () -> reader.read(1, rawPages))));
  }

  private static String csv(int rows) {
    return IntStream.range(0, rows)
        .mapToObj(row -> "workspace-%05d,1,%s,200,50,0,plan-model\n".formatted(row, DIGEST))
        .collect(
            Collectors.joining(
                "",
                "workspace,weight,key_digest,max_waiting,max_running,max_cost_per_minute,"
                    + "services\n",
                ""));
  }
}
