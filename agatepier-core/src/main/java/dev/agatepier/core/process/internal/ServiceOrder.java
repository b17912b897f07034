package dev.agatepier.core.process.internal;

import java.util.Collection;
import java.util.List;

/** Order in which the waiting requests of a service get slots. */
interface ServiceOrder {

  /** Returns the workspaces with waiting requests, the next one first. */
  List<WorkspaceAccount> workspaces();

  /** Returns the waiting requests of a workspace, the next one first. */
  Collection<WaitingEntry> entries(String workspace);

  /** Returns whether a waiting request gets a slot before another one. */
  boolean precedes(WaitingEntry first, WaitingEntry second);
}
