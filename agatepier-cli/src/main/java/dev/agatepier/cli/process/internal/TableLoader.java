package dev.agatepier.cli.process.internal;

import dev.agatepier.core.connection.VersionMessage.ManifestTransfer;
import dev.agatepier.core.request.Bytes;
import dev.agatepier.core.version.Table;
import dev.agatepier.core.version.TableCheckResult;
import dev.agatepier.core.version.TableException;
import dev.agatepier.core.version.TableMistake;
import dev.agatepier.core.version.TablePage;
import dev.agatepier.wire.version.Platform;
import dev.agatepier.wire.version.PlatformException;
import dev.agatepier.wire.version.TableFormat.RawPage;
import dev.agatepier.wire.version.TableReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/** Gets tables from files and from the platform. */
final class TableLoader {

  private TableLoader() {}

  /** Reads the two files of a table; mistakes name the files. */
  static Table fromFiles(List<String> files) {
    Map<String, String> names =
        Map.of(
            TablePage.WORKSPACES_PREFIX, files.get(0),
            TablePage.SERVICES_PREFIX, files.get(1));
    List<RawPage> pages =
        List.of(
            new RawPage(TablePage.WORKSPACES_PREFIX, content(files.get(0))),
            new RawPage(TablePage.SERVICES_PREFIX, content(files.get(1))));
    return whole(new TableReader().read(0, pages), names);
  }

  /** Reads the table that the platform has published. */
  static Table fromPlatform(Platform platform) {
    ManifestTransfer manifest =
        platform
            .manifest(0, 0)
            .join()
            .orElseThrow(() -> new PlatformException("the platform has no table"));
    List<RawPage> pages =
        manifest.pages().stream()
            .map(page -> new RawPage(page.name(), platform.page(page).join()))
            .toList();
    return whole(new TableReader().read(manifest.version(), pages), Map.of());
  }

  private static Bytes content(String file) {
    try {
      return new Bytes(Files.readAllBytes(Path.of(file)));
    } catch (IOException failure) {
      throw new TableException(List.of(new TableMistake(file, 0, 0, "the file cannot be read")));
    }
  }

  private static Table whole(TableCheckResult reading, Map<String, String> names) {
    return switch (reading) {
      case TableCheckResult.Accepted(Table table) -> table;
      case TableCheckResult.Refused(List<TableMistake> mistakes) ->
          throw new TableException(
              mistakes.stream().map(mistake -> renamed(mistake, names)).toList());
    };
  }

  private static TableMistake renamed(TableMistake mistake, Map<String, String> names) {
    String name = names.getOrDefault(mistake.page(), mistake.page());
    return new TableMistake(name, mistake.line(), mistake.column(), mistake.reason());
  }
}
