package dev.agatepier.standin.process.internal;

import com.fasterxml.jackson.databind.JsonNode;
import dev.agatepier.standin.process.internal.PlatformMessage.Subject;
import dev.agatepier.standin.version.PublishedTable;
import dev.agatepier.standin.version.TablePage;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/** State of the platform stand-in; owned by one mailbox task. */
final class PlatformTask {

  /** Versions whose pages are still served. */
  private static final int KEPT_VERSIONS = 4;

  private static final int MAXIMUM_WATCHES = 20_000;

  /** Sends a message to this task after a delay. */
  @FunctionalInterface
  interface Timer {
    void after(long delayMillis, PlatformMessage message);
  }

  private final Optional<Path> stateFile;
  private final Timer timer;
  private final Set<PlatformMessage.Read> watches = new LinkedHashSet<>();
  private final Map<String, Long> counts = new TreeMap<>();
  private final List<PublishedTable> keptTables = new ArrayList<>();
  private PlatformFaults faults = PlatformFaults.NONE;
  private PublishedTable currentTable = PublishedTable.NONE;
  private PublishedTable servedTable = PublishedTable.NONE;
  private long putInstancesVersion;
  private JsonNode putInstances = Json.object().putArray("instances");
  private long visibleVersion;
  private JsonNode visibleInstances = putInstances;
  private long servedVersion;
  private JsonNode servedInstances = putInstances;

  PlatformTask(Optional<Path> stateFile, Timer timer) {
    this.stateFile = stateFile;
    this.timer = timer;
    PlatformDocuments.load(stateFile).ifPresent(this::restore);
  }

  void handle(PlatformMessage message) {
    switch (message) {
      case PlatformMessage.Read read -> read(read);
      case PlatformMessage.Expired expired -> expire(expired.watch());
      case PlatformMessage.ReadPage read -> readPage(read);
      case PlatformMessage.PutTable put -> putTable(put);
      case PlatformMessage.PutInstances put -> putInstances(put);
      case PlatformMessage.InstancesVisible visible -> show(visible);
      case PlatformMessage.PutFaults put -> putFaults(put);
      case PlatformMessage.ReadCounts read -> read.reply().complete(Reply.json(200, counted()));
    }
  }

  private void read(PlatformMessage.Read read) {
    String call = read.subject() == Subject.TABLE ? "manifest" : "instances";
    count(read.waitMillis() > 0 ? call + "Watch" : call);
    if (faults.down()) {
      read.reply().complete(new Reply.Reset());
    } else if (version(read.subject()) > read.after() || read.waitMillis() <= 0) {
      read.reply().complete(Reply.json(200, document(read.subject())));
    } else if (watches.size() >= MAXIMUM_WATCHES) {
      read.reply().complete(Reply.error(503, "too many watches"));
    } else {
      watches.add(read);
      timer.after(read.waitMillis(), new PlatformMessage.Expired(read));
    }
  }

  private void expire(PlatformMessage.Read watch) {
    if (watches.remove(watch)) {
      watch.reply().complete(Reply.empty(204));
    }
  }

  private void readPage(PlatformMessage.ReadPage read) {
    count("page");
    if (faults.down()) {
      read.reply().complete(new Reply.Reset());
      return;
    }
    Optional<TablePage> page =
        keptTables.stream().flatMap(table -> table.page(read.name()).stream()).findFirst();
    read.reply()
        .complete(
            page.<Reply>map(found -> new Reply.Content(200, "text/csv", found.content()))
                .orElseGet(() -> Reply.error(404, "no page " + read.name())));
  }

  private void putTable(PlatformMessage.PutTable put) {
    if (put.expectedVersion() >= 0 && put.expectedVersion() != currentTable.version()) {
      put.reply().complete(Reply.error(409, "the table is at version " + currentTable.version()));
      return;
    }
    try {
      currentTable =
          PublishedTable.of(
              currentTable.version() + 1,
              put.workspaces() == null ? currentTable.workspaces() : put.workspaces(),
              put.services() == null ? currentTable.services() : put.services());
    } catch (IllegalArgumentException invalid) {
      put.reply().complete(Reply.error(400, invalid.getMessage()));
      return;
    }
    save();
    serve();
    put.reply().complete(Reply.json(200, "{\"version\":" + currentTable.version() + "}"));
  }

  private void putInstances(PlatformMessage.PutInstances put) {
    putInstancesVersion++;
    putInstances = put.instances();
    save();
    var visible = new PlatformMessage.InstancesVisible(putInstancesVersion, put.instances());
    if (faults.instancesLagMillis() > 0) {
      timer.after(faults.instancesLagMillis(), visible);
    } else {
      show(visible);
    }
    put.reply().complete(Reply.json(200, "{\"version\":" + putInstancesVersion + "}"));
  }

  private void show(PlatformMessage.InstancesVisible visible) {
    if (visible.version() > visibleVersion) {
      visibleVersion = visible.version();
      visibleInstances = visible.instances();
      serve();
    }
  }

  private void putFaults(PlatformMessage.PutFaults put) {
    faults = put.faults();
    if (faults.down()) {
      watches.forEach(watch -> watch.reply().complete(new Reply.Reset()));
      watches.clear();
    }
    serve();
    put.reply().complete(Reply.json(200, Json.write(faults)));
  }

  /** Brings what is served up to date unless it is frozen, and answers watches that see more. */
  private void serve() {
    if (!faults.frozenTable() && servedTable != currentTable) {
      servedTable = currentTable;
      keptTables.addFirst(servedTable);
      if (keptTables.size() > KEPT_VERSIONS) {
        keptTables.removeLast();
      }
    }
    if (!faults.frozenInstances()) {
      servedVersion = visibleVersion;
      servedInstances = visibleInstances;
    }
    watches.removeIf(this::answered);
  }

  private boolean answered(PlatformMessage.Read watch) {
    if (version(watch.subject()) <= watch.after()) {
      return false;
    }
    watch.reply().complete(Reply.json(200, document(watch.subject())));
    return true;
  }

  private long version(Subject subject) {
    return subject == Subject.TABLE ? servedTable.version() : servedVersion;
  }

  private String document(Subject subject) {
    return subject == Subject.TABLE
        ? PlatformDocuments.manifest(servedTable)
        : PlatformDocuments.instances(servedVersion, servedInstances);
  }

  private void count(String call) {
    counts.merge(call, 1L, Long::sum);
  }

  private String counted() {
    long total = counts.values().stream().mapToLong(Long::longValue).sum();
    Map<String, Long> answer = new TreeMap<>(counts);
    answer.put("total", total);
    answer.put("watching", (long) watches.size());
    return Json.write(answer);
  }

  private void save() {
    PlatformDocuments.save(
        stateFile,
        new PlatformDocuments.State(
            currentTable.version(),
            currentTable.workspaces(),
            currentTable.services(),
            putInstancesVersion,
            putInstances));
  }

  private void restore(PlatformDocuments.State state) {
    if (state.tableVersion() > 0) {
      currentTable = PublishedTable.of(state.tableVersion(), state.workspaces(), state.services());
    }
    putInstancesVersion = state.instancesVersion();
    putInstances = state.instances();
    visibleVersion = putInstancesVersion;
    visibleInstances = putInstances;
    serve();
  }
}
