package dev.agatepier.wire.process.internal;

import dev.agatepier.core.connection.LinkMessage;
import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.version.InstanceList;
import dev.agatepier.core.version.Table;
import dev.agatepier.wire.process.AdministrationRoute;
import dev.agatepier.wire.process.Readiness;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** What only one kind of process does. Nothing here blocks. */
public interface MemberTasks {

  /** Counter of events that a full mailbox did not take. */
  String MAILBOX_FULL = "mailbox.full";

  /** A link is up. */
  void onPeerConnected(PeerIdentity peer);

  /** A message came; returns false if it cannot be taken now. */
  boolean onMessage(PeerIdentity peer, LinkMessage message);

  /** A link is gone. */
  void onPeerDisconnected(PeerIdentity peer);

  /** A table version is in force. */
  void onTableActivated(Table table);

  /** A version of the instance list is in force. */
  void onInstancesActivated(InstanceList instances);

  /** Returns whether the process takes no new work. */
  boolean draining();

  /** An operator asked for the graceful stop. */
  void onDrainRequested();

  /** Returns whether the process takes work, once it has a table. */
  Readiness readiness();

  /** Returns what operators are told of its state. */
  CompletableFuture<Object> snapshot();

  /** Returns gauges of its state by name. */
  CompletableFuture<Map<String, Object>> gauges();

  /** Returns its own calls of the administration API. */
  List<AdministrationRoute> routes();
}
