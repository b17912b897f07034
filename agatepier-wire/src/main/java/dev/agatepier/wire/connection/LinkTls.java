package dev.agatepier.wire.connection;

import java.nio.file.Path;
import java.util.Objects;

/**
 * Certificates by which both ends of a link authenticate each other.
 *
 * @param certificate chain of this process, PEM
 * @param key private key of this process, PEM
 * @param trust certificates that peers' chains must lead to, PEM
 */
public record LinkTls(Path certificate, Path key, Path trust) {

  /** Checks that every file is named. */
  public LinkTls {
    Objects.requireNonNull(certificate, "certificate");
    Objects.requireNonNull(key, "key");
    Objects.requireNonNull(trust, "trust");
  }
}
