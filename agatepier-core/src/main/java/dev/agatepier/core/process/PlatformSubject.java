package dev.agatepier.core.process;

/** The data that processes read from the platform and watch for changes. */
public enum PlatformSubject {
  /** The manifest of the table. */
  TABLE,
  /** The list of instances. */
  INSTANCES
}
