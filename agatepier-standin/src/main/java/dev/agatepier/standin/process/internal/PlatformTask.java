package dev.agatepier.standin.process.internal;

import com.fasterxml.jackson.databind.JsonNode;
import dev.agatepier.standin.process.internal.PlatformMessage.Document;
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

/**
 * The published and served documents of the platform stand-in. Their state is owned by one mailbox
 * task.
 */
final class PlatformTask {

  /** Number of table versions whose pages are still served. */
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
  private long publishedInstancesVersion;
  private JsonNode publishedInstances = Json.object().putArray("instances");
  private long visibleInstancesVersion;
  private JsonNode visibleInstances = publishedInstances;
  private long servedInstancesVersion;
  private JsonNode servedInstances = publishedInstances;

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
      case PlatformMessage.InstancesVisible visible -> onInstancesVisible(visible);
      case PlatformMessage.PutFaults put -> putFaults(put);
      case PlatformMessage.ReadCounts read ->
          read.reply().complete(Reply.json(200, countsDocument()));
    }
  }

  private void read(PlatformMessage.Read read) {
    String call = read.document() == Document.TABLE ? "manifest" : "instances";
    count(read.waitMillis() > 0 ? call + "Watch" : call);
    if (faults.down()) {
      read.reply().complete(new Reply.Reset());
    } else if (version(read.document()) > read.after() || read.waitMillis() <= 0) {
      read.reply().complete(Reply.json(200, document(read.document())));
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
    updateServed();
    put.reply().complete(Reply.json(200, "{\"version\":" + currentTable.version() + "}"));
  }

  private void putInstances(PlatformMessage.PutInstances put) {
    publishedInstancesVersion++;
    publishedInstances = put.instances();
    save();
    var visible = new PlatformMessage.InstancesVisible(publishedInstancesVersion, put.instances());
    if (faults.instancesLagMillis() > 0) {
      timer.after(faults.instancesLagMillis(), visible);
    } else {
      onInstancesVisible(visible);
    }
    put.reply().complete(Reply.json(200, "{\"version\":" + publishedInstancesVersion + "}"));
  }

  private void onInstancesVisible(PlatformMessage.InstancesVisible visible) {
    if (visible.version() > visibleInstancesVersion) {
      visibleInstancesVersion = visible.version();
      visibleInstances = visible.instances();
      updateServed();
    }
  }

  private void putFaults(PlatformMessage.PutFaults put) {
    faults = put.faults();
    if (faults.down()) {
      watches.forEach(watch -> watch.reply().complete(new Reply.Reset()));
      watches.clear();
    }
    updateServed();
    put.reply().complete(Reply.json(200, Json.write(faults)));
  }

  /**
   * Updates the served documents unless they are frozen, and completes the watches for which there
   * is a newer version.
   */
  private void updateServed() {
    if (!faults.frozenTable() && servedTable != currentTable) {
      servedTable = currentTable;
      keptTables.addFirst(servedTable);
      if (keptTables.size() > KEPT_VERSIONS) {
        keptTables.removeLast();
      }
    }
    if (!faults.frozenInstances()) {
      servedInstancesVersion = visibleInstancesVersion;
      servedInstances = visibleInstances;
    }
    watches.removeIf(this::completeIfNewer);
  }

  private boolean completeIfNewer(PlatformMessage.Read watch) {
    if (version(watch.document()) <= watch.after()) {
      return false;
    }
    watch.reply().complete(Reply.json(200, document(watch.document())));
    return true;
  }

  private long version(Document document) {
    return document == Document.TABLE ? servedTable.version() : servedInstancesVersion;
  }

  private String document(Document document) {
    return document == Document.TABLE
        ? PlatformDocuments.manifest(servedTable)
        : PlatformDocuments.instances(servedInstancesVersion, servedInstances);
  }

  private void count(String call) {
    counts.merge(call, 1L, Long::sum);
  }

  private String countsDocument() {
    long total = counts.values().stream().mapToLong(Long::longValue).sum();
    Map<String, Long> document = new TreeMap<>(counts);
    document.put("total", total);
    document.put("watching", (long) watches.size());
    return Json.write(document);
  }

  private void save() {
    PlatformDocuments.save(
        stateFile,
        new PlatformDocuments.State(
            currentTable.version(),
            currentTable.workspaces(),
            currentTable.services(),
            publishedInstancesVersion,
            publishedInstances));
  }

  private void restore(PlatformDocuments.State state) {
    if (state.tableVersion() > 0) {
      currentTable = PublishedTable.of(state.tableVersion(), state.workspaces(), state.services());
    }
    publishedInstancesVersion = state.instancesVersion();
    publishedInstances = state.instances();
    visibleInstancesVersion = publishedInstancesVersion;
    visibleInstances = publishedInstances;
    updateServed();
  }
}
