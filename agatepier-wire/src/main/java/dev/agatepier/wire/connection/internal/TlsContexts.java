package dev.agatepier.wire.connection.internal;

import dev.agatepier.wire.connection.LinkException;
import dev.agatepier.wire.connection.LinkTls;
import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import javax.net.ssl.SSLException;

/** Builds the TLS contexts of both ends of a link. */
public final class TlsContexts {

  private TlsContexts() {}

  /** Returns the context of the accepting end, which demands a certificate of the other. */
  public static SslContext server(LinkTls tls) {
    try {
      return SslContextBuilder.forServer(tls.certificate().toFile(), tls.key().toFile())
          .trustManager(tls.trust().toFile())
          .clientAuth(ClientAuth.REQUIRE)
          .build();
    } catch (SSLException | IllegalArgumentException failure) {
      throw new LinkException("certificates of links cannot be used", failure);
    }
  }

  /** Returns the context of the dialing end. Peers are known by certificate, not by host name. */
  public static SslContext client(LinkTls tls) {
    try {
      return SslContextBuilder.forClient()
          .keyManager(tls.certificate().toFile(), tls.key().toFile())
          .trustManager(tls.trust().toFile())
          .endpointIdentificationAlgorithm(null)
          .build();
    } catch (SSLException | IllegalArgumentException failure) {
      throw new LinkException("certificates of links cannot be used", failure);
    }
  }
}
