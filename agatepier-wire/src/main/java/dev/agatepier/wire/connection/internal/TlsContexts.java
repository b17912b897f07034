package dev.agatepier.wire.connection.internal;

import dev.agatepier.wire.connection.LinkException;
import dev.agatepier.wire.connection.LinkTls;
import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import javax.net.ssl.SSLException;

/** Builds the TLS contexts of the accepting and the dialing end of a link. */
public final class TlsContexts {

  private TlsContexts() {}

  /** Returns the context of the accepting end, which requires a client certificate. */
  public static SslContext server(LinkTls tls) {
    try {
      return SslContextBuilder.forServer(tls.certificate().toFile(), tls.key().toFile())
          .trustManager(tls.trust().toFile())
          .clientAuth(ClientAuth.REQUIRE)
          .build();
    } catch (SSLException | IllegalArgumentException failure) {
      throw new LinkException(
          "TLS context of the link listener cannot be created from certificate "
              + tls.certificate()
              + ", key "
              + tls.key()
              + " and trust file "
              + tls.trust(),
          failure);
    }
  }

  /**
   * Returns the context of the dialing end. Host names are not verified, since peers are identified
   * by their certificates.
   */
  public static SslContext client(LinkTls tls) {
    try {
      return SslContextBuilder.forClient()
          .keyManager(tls.certificate().toFile(), tls.key().toFile())
          .trustManager(tls.trust().toFile())
          .endpointIdentificationAlgorithm(null)
          .build();
    } catch (SSLException | IllegalArgumentException failure) {
      throw new LinkException(
          "TLS context of the link client cannot be created from certificate "
              + tls.certificate()
              + ", key "
              + tls.key()
              + " and trust file "
              + tls.trust(),
          failure);
    }
  }
}
