package dev.agatepier.core.process.internal;

import dev.agatepier.core.request.RequestId;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/** The requests that wait for a slot of one service, by workspace, in their order of service. */
final class WaitingRequests {

  private final Map<RequestId, WaitingEntry> byRequest = new LinkedHashMap<>();
  private final Map<String, TreeSet<WaitingEntry>> byWorkspace = new HashMap<>();
  private final WorkspaceLedger ledger;

  /** Creates an empty set that reports the demand of each workspace to a ledger. */
  WaitingRequests(WorkspaceLedger ledger) {
    this.ledger = ledger;
  }

  void add(WaitingEntry entry) {
    remove(entry.call.request());
    byRequest.put(entry.call.request(), entry);
    byWorkspace
        .computeIfAbsent(entry.workspace(), name -> new TreeSet<>(WaitingEntry.SERVICE_ORDER))
        .add(entry);
    updateDemand(entry.workspace());
  }

  /** Removes and returns the entry of a request; null if there is none. */
  WaitingEntry remove(RequestId request) {
    WaitingEntry entry = byRequest.remove(request);
    if (entry != null) {
      TreeSet<WaitingEntry> entries = byWorkspace.get(entry.workspace());
      entries.remove(entry);
      if (entries.isEmpty()) {
        byWorkspace.remove(entry.workspace());
      }
      updateDemand(entry.workspace());
    }
    return entry;
  }

  /** Removes the waiting requests of a router. */
  void removeRouter(String router) {
    List.copyOf(byRequest.values()).stream()
        .filter(entry -> entry.router.equals(router))
        .forEach(entry -> remove(entry.call.request()));
  }

  boolean isEmpty() {
    return byRequest.isEmpty();
  }

  int size() {
    return byRequest.size();
  }

  Collection<WaitingEntry> all() {
    return byRequest.values();
  }

  /** Returns the entries of a workspace in their order of service. */
  Collection<WaitingEntry> ofWorkspace(String workspace) {
    TreeSet<WaitingEntry> entries = byWorkspace.get(workspace);
    return entries == null ? List.of() : entries;
  }

  private void updateDemand(String workspace) {
    TreeSet<WaitingEntry> entries = byWorkspace.get(workspace);
    if (entries == null) {
      ledger.setDemand(workspace, 0, 0);
    } else {
      ledger.setDemand(workspace, entries.size(), entries.first().arrivedNanos);
    }
  }
}
