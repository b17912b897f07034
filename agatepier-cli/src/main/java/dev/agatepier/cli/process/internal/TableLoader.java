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

/** Loads tables from files and from the platform. */
final class TableLoader {

  private TableLoader() {}

  /** Loads a table from its two files; mistakes contain the file name in place of the page. */
  static Table fromFiles(List<String> files) {
    Map<String, String> fileNames =
        Map.of(
            TablePage.WORKSPACES_PREFIX, files.get(0),
            TablePage.SERVICES_PREFIX, files.get(1));
    List<RawPage> pages =
        List.of(
            new RawPage(TablePage.WORKSPACES_PREFIX, readFile(files.get(0))),
            new RawPage(TablePage.SERVICES_PREFIX, readFile(files.get(1))));
    return requireValid(new TableReader().read(0, pages), fileNames);
  }

  /** Loads the table that the platform has published. */
  static Table fromPlatform(Platform platform) {
    ManifestTransfer manifest =
        platform
            .manifest(0, 0)
            .join()
            .orElseThrow(() -> new PlatformException("the platform has published no table"));
    List<RawPage> pages =
        manifest.pages().stream()
            .map(page -> new RawPage(page.name(), platform.page(page).join()))
            .toList();
    return requireValid(new TableReader().read(manifest.version(), pages), Map.of());
  }

  private static Bytes readFile(String file) {
    try {
      return new Bytes(Files.readAllBytes(Path.of(file)));
    } catch (IOException failure) {
      throw new TableException(List.of(new TableMistake(file, 0, 0, "the file cannot be read")));
    }
  }

  private static Table requireValid(TableCheckResult result, Map<String, String> fileNames) {
    return switch (result) {
      case TableCheckResult.Accepted(Table table) -> table;
      case TableCheckResult.Refused(List<TableMistake> mistakes) ->
          throw new TableException(
              mistakes.stream().map(mistake -> withFileName(mistake, fileNames)).toList());
    };
  }

  private static TableMistake withFileName(TableMistake mistake, Map<String, String> fileNames) {
    String name = fileNames.getOrDefault(mistake.page(), mistake.page());
    return new TableMistake(name, mistake.line(), mistake.column(), mistake.reason());
  }
}
