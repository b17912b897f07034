package dev.agatepier.standin.process.internal;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import dev.agatepier.standin.version.PublishedTable;
import dev.agatepier.standin.version.TablePage;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Optional;

/** Encodes the documents that the platform stand-in serves, and reads and writes its state file. */
final class PlatformDocuments {

  private PlatformDocuments() {}

  /** State that survives a restart of the stand-in. */
  record State(
      long tableVersion,
      String workspaces,
      String services,
      long instancesVersion,
      JsonNode instances) {}

  static String manifest(PublishedTable table) {
    ArrayNode pages = Json.object().putArray("pages");
    for (TablePage page : table.pages()) {
      pages
          .addObject()
          .put("name", page.name())
          .put("digest", page.digest())
          .put("size", page.size());
    }
    return Json.object().put("version", table.version()).set("pages", pages).toString();
  }

  static String instances(long version, JsonNode instances) {
    return Json.object().put("version", version).set("instances", instances).toString();
  }

  static Optional<State> load(Optional<Path> file) {
    if (file.isEmpty() || !Files.exists(file.get())) {
      return Optional.empty();
    }
    try {
      return Optional.of(Json.read(Files.readAllBytes(file.get()), State.class));
    } catch (IOException failure) {
      throw new IllegalStateException("cannot read the state file " + file.get(), failure);
    }
  }

  static void save(Optional<Path> file, State state) {
    if (file.isEmpty()) {
      return;
    }
    try {
      Path target = file.get().toAbsolutePath();
      Path partial = target.resolveSibling(target.getFileName() + ".part");
      Files.writeString(partial, Json.write(state));
      Files.move(
          partial, target, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
    } catch (IOException failure) {
      throw new IllegalStateException("cannot write the state file " + file.get(), failure);
    }
  }
}
