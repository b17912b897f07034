package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.VersionMessage.ManifestTransfer;
import dev.agatepier.core.connection.VersionMessage.PageReference;
import dev.agatepier.core.request.Bytes;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Pages of the active, the prepared and the currently transferred table version, by digest. */
public final class PageStore {

  private final Map<String, Bytes> pages = new HashMap<>();

  /** Stores a page; the caller has verified its digest. */
  public void put(String digest, Bytes content) {
    pages.put(digest, content);
  }

  /** Returns a page, or no bytes if it is not stored. */
  public Bytes get(String digest) {
    return pages.getOrDefault(digest, Bytes.EMPTY);
  }

  /** Returns the first page of a version that is not stored. */
  public Optional<PageReference> firstMissing(ManifestTransfer manifest) {
    return manifest.pages().stream().filter(page -> !pages.containsKey(page.digest())).findFirst();
  }

  /** Returns the content of every page of a version, in the order of its manifest. */
  public List<Bytes> content(ManifestTransfer manifest) {
    return manifest.pages().stream().map(page -> get(page.digest())).toList();
  }

  /** Removes all pages that none of the manifests refers to. */
  public void retain(List<ManifestTransfer> manifests) {
    Set<String> referenced = new HashSet<>();
    manifests.forEach(manifest -> manifest.pages().forEach(page -> referenced.add(page.digest())));
    pages.keySet().retainAll(referenced);
  }
}
