package dev.agatepier.core.version;

import java.util.regex.Pattern;

/** Limits on the size of a table and the form of its names. */
public final class TableBounds {

  /**
   * Maximum number of workspaces in a table: four times the number that the users expect within two
   * years.
   */
  public static final int MAXIMUM_WORKSPACES = 100_000;

  /** Maximum number of services in a table: far above the five models in regular use. */
  public static final int MAXIMUM_SERVICES = 1_000;

  private static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9._-]{0,62}");

  private TableBounds() {}

  /** Returns whether a text is a valid name of a workspace or service. */
  public static boolean isValidName(String text) {
    return NAME.matcher(text).matches();
  }
}
