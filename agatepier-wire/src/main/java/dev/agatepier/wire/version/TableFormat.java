package dev.agatepier.wire.version;

import dev.agatepier.core.request.Bytes;
import dev.agatepier.core.version.TableCheckResult;
import java.util.List;

/** How the pages of a table are written. */
public interface TableFormat {

  /**
   * One page as it was published.
   *
   * @param name name of the page or file
   * @param content its bytes
   */
  record RawPage(String name, Bytes content) {}

  /**
   * Reads a version.
   *
   * @param version number of the version
   * @param pages its pages
   * @return the whole version, or every mistake found
   */
  TableCheckResult read(long version, List<RawPage> pages);
}
