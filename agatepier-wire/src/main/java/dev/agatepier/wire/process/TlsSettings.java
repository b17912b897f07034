package dev.agatepier.wire.process;

import java.nio.file.Path;

/**
 * Certificates for links between processes.
 *
 * @param certificateFile certificate chain of this process, PEM
 * @param keyFile its private key, PEM
 * @param trustFile certificates that peers' chains must end in, PEM
 */
public record TlsSettings(Path certificateFile, Path keyFile, Path trustFile) {}
