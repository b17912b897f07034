package dev.agatepier.core.process;

/** What of the platform is read and watched. */
public enum PlatformSubject {
  /** The manifest of the table. */
  TABLE,
  /** The list of instances. */
  INSTANCES
}
