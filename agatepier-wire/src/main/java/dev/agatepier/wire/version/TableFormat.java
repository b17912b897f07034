package dev.agatepier.wire.version;

import dev.agatepier.core.request.Bytes;
import dev.agatepier.core.version.TableCheckResult;
import java.util.List;

/** Decodes the pages of a table. */
public interface TableFormat {

  /**
   * One page as published, not yet decoded.
   *
   * @param name name of the page or file
   * @param content content of the page
   */
  record RawPage(String name, Bytes content) {}

  /**
   * Decodes and checks a version.
   *
   * @param version number of the version
   * @param pages pages of the version
   * @return the complete table, or all mistakes found
   */
  TableCheckResult read(long version, List<RawPage> pages);
}
