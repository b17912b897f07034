package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.VersionMessage.ManifestTransfer;
import dev.agatepier.core.connection.VersionMessage.PageReference;
import java.util.Optional;

/** One table version on its way from one source: pages are asked for one at a time. */
public final class TableTransfer {

  private final ManifestTransfer manifest;
  private final String source;
  private final long deadlineSpanNanos;
  private String asked = "";
  private boolean preparing;
  private long deadlineNanos;

  /**
   * Creates the transfer.
   *
   * @param manifest what is to come
   * @param source where from
   * @param deadlineSpanNanos how long the source may take for one page, in nanoseconds
   */
  public TableTransfer(ManifestTransfer manifest, String source, long deadlineSpanNanos) {
    this.manifest = manifest;
    this.source = source;
    this.deadlineSpanNanos = deadlineSpanNanos;
  }

  /** Returns what is to come. */
  public ManifestTransfer manifest() {
    return manifest;
  }

  /** Returns where it comes from. */
  public String source() {
    return source;
  }

  /** Returns whether a page answers this transfer's question. */
  public boolean isRequested(String from, String digest) {
    return !preparing && source.equals(from) && asked.equals(digest);
  }

  /** Returns the next page to ask for, or nothing when all are there. */
  public Optional<PageReference> nextPage(PageStore store, long nowNanos) {
    deadlineNanos = nowNanos + deadlineSpanNanos;
    Optional<PageReference> missing = store.firstMissing(manifest);
    missing.ifPresent(page -> asked = page.digest());
    preparing = missing.isEmpty();
    return missing;
  }

  /** Returns whether the source let the deadline pass. */
  public boolean overdue(long nowNanos) {
    return !preparing && nowNanos - deadlineNanos >= 0;
  }
}
