package dev.agatepier.wire.connection;

import java.nio.file.Path;
import java.util.Objects;

/**
 * PEM files for mutual TLS on links.
 *
 * @param certificate certificate chain of this process
 * @param key private key of this process
 * @param trust CA certificates that the chains of peers must end in
 */
public record LinkTls(Path certificate, Path key, Path trust) {

  /** Checks that no path is null. */
  public LinkTls {
    Objects.requireNonNull(certificate, "certificate");
    Objects.requireNonNull(key, "key");
    Objects.requireNonNull(trust, "trust");
  }
}
