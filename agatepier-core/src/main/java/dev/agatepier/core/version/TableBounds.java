package dev.agatepier.core.version;

import java.util.regex.Pattern;

/** How large a table may be, and which names it may hold. */
public final class TableBounds {

  /** Most workspaces of one table: four times what the users expect within two years. */
  public static final int MAXIMUM_WORKSPACES = 100_000;

  /** Most services of one table: far above the five models in steady use. */
  public static final int MAXIMUM_SERVICES = 1_000;

  private static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9._-]{0,62}");

  private TableBounds() {}

  /** Returns whether a text is a legal name of a workspace or service. */
  public static boolean isValidName(String text) {
    return NAME.matcher(text).matches();
  }
}
