package dev.agatepier.wire.process.internal;

import dev.agatepier.core.connection.LinkMessage;
import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.version.InstanceList;
import dev.agatepier.core.version.ReadTimestamp;
import dev.agatepier.core.version.SoftwareVersionHistory;
import dev.agatepier.core.version.Table;
import dev.agatepier.core.version.Upstream;
import dev.agatepier.wire.process.AdministrationRoute;
import dev.agatepier.wire.process.Readiness;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** Tasks that are specific to a router or a sidecar. No method blocks. */
public interface MemberTasks {

  /** Counter of events that a full mailbox has rejected. */
  String MAILBOX_FULL = "mailbox.full";

  /** Called when a link is authenticated. */
  void onPeerConnected(PeerIdentity peer);

  /** Called for a message of a peer; returns false if it cannot be accepted now. */
  boolean onMessage(PeerIdentity peer, LinkMessage message);

  /** Called when a link is closed. */
  void onPeerDisconnected(PeerIdentity peer);

  /** Called when a table version becomes active. */
  void onTableActivated(Table table);

  /** Called when a version of the instance list becomes active. */
  void onInstancesActivated(InstanceList instances);

  /** Called when a read has confirmed that the active instance list is the newest version. */
  default void onInstancesConfirmed(ReadTimestamp readStarted) {}

  /** Called when all registered upstreams were read on request. */
  default void onUpstreamsRead(List<Upstream> upstreams, ReadTimestamp readStarted) {}

  /** Called when such a read has failed. */
  default void onUpstreamsReadFailed(ReadTimestamp readStarted) {}

  /** Called when it was read which software versions upstreams had before the first list. */
  default void onSoftwareVersionsRead(SoftwareVersionHistory history) {}

  /** Returns whether the process accepts no new work. */
  boolean draining();

  /** Called when an operator requests a graceful stop. */
  void onDrainRequested();

  /** Returns whether the process accepts work, provided that it has a table. */
  Readiness readiness();

  /** Returns a snapshot of its state for operators. */
  CompletableFuture<Object> snapshot();

  /** Returns the gauges of its state by name. */
  CompletableFuture<Map<String, Object>> gauges();

  /** Returns its routes of the administration API. */
  List<AdministrationRoute> routes();
}
