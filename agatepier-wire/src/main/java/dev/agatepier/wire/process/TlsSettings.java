package dev.agatepier.wire.process;

import java.nio.file.Path;

/**
 * Certificate files for links between processes.
 *
 * @param certificateFile certificate chain of this process, PEM
 * @param keyFile private key of this process, PEM
 * @param trustFile trust anchors for the certificate chains of peers, PEM
 */
public record TlsSettings(Path certificateFile, Path keyFile, Path trustFile) {}
