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

/** Pages of the versions in force and on their way, by digest. */
public final class PageStore {

  private final Map<String, Bytes> pages = new HashMap<>();

  /** Keeps a page whose digest has been checked. */
  public void put(String digest, Bytes content) {
    pages.put(digest, content);
  }

  /** Returns a page, or no bytes if it is not kept. */
  public Bytes get(String digest) {
    return pages.getOrDefault(digest, Bytes.EMPTY);
  }

  /** Returns the first page of a version that is not kept. */
  public Optional<PageReference> firstMissing(ManifestTransfer manifest) {
    return manifest.pages().stream().filter(page -> !pages.containsKey(page.digest())).findFirst();
  }

  /** Returns the content of every page of a version, in order. */
  public List<Bytes> content(ManifestTransfer manifest) {
    return manifest.pages().stream().map(page -> get(page.digest())).toList();
  }

  /** Drops every page that none of the versions has. */
  public void retain(List<ManifestTransfer> manifests) {
    Set<String> used = new HashSet<>();
    manifests.forEach(manifest -> manifest.pages().forEach(page -> used.add(page.digest())));
    pages.keySet().retainAll(used);
  }
}
