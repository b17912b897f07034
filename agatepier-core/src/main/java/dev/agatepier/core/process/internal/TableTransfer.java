package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.VersionMessage.ManifestTransfer;
import dev.agatepier.core.connection.VersionMessage.PageReference;
import java.util.Optional;

/** Transfer of one table version from one source; its pages are requested one at a time. */
public final class TableTransfer {

  private final ManifestTransfer manifest;
  private final String source;
  private final long pageTimeoutNanos;
  private String requestedDigest = "";
  private boolean preparing;
  private long deadlineNanos;

  /**
   * Creates a transfer that has not requested a page yet.
   *
   * @param manifest manifest of the version
   * @param source instance name of a peer, or {@code VersionDecision.PLATFORM}
   * @param pageTimeoutNanos how long the source may take for one page, in nanoseconds
   */
  public TableTransfer(ManifestTransfer manifest, String source, long pageTimeoutNanos) {
    this.manifest = manifest;
    this.source = source;
    this.pageTimeoutNanos = pageTimeoutNanos;
  }

  /** Returns the manifest of the version in transfer. */
  public ManifestTransfer manifest() {
    return manifest;
  }

  /** Returns the peer's instance name, or {@code VersionDecision.PLATFORM}. */
  public String source() {
    return source;
  }

  /** Returns whether a page is the one that this transfer has requested from its source. */
  public boolean isRequested(String from, String digest) {
    return !preparing && source.equals(from) && requestedDigest.equals(digest);
  }

  /** Returns the next page to request and restarts the timeout; empty when all are stored. */
  public Optional<PageReference> nextPage(PageStore store, long nowNanos) {
    deadlineNanos = nowNanos + pageTimeoutNanos;
    Optional<PageReference> missing = store.firstMissing(manifest);
    missing.ifPresent(page -> requestedDigest = page.digest());
    preparing = missing.isEmpty();
    return missing;
  }

  /** Returns whether the source has exceeded the timeout for the requested page. */
  public boolean overdue(long nowNanos) {
    return !preparing && nowNanos - deadlineNanos >= 0;
  }
}
