package dev.agatepier.wire.connection.internal;

import dev.agatepier.core.connection.LinkMessage;
import dev.agatepier.core.connection.LinkMessage.Hello;
import dev.agatepier.core.connection.LinkMessage.HelloProof;
import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.request.Bytes;
import dev.agatepier.wire.connection.LinkException;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Mutual authentication of both ends of a link: each sends an HMAC, keyed with the shared secret of
 * the fleet, over the nonce of the other.
 */
final class Handshake {

  /** Protocol version of a link; both ends must have the same. */
  static final int PROTOCOL_VERSION = 7;

  /** Size of a nonce, in bytes. */
  static final int NONCE_BYTES = 16;

  private static final String ALGORITHM = "HmacSHA256";
  private static final SecureRandom RANDOM = new SecureRandom();

  private final LinkContext context;
  private final boolean dialing;
  private final Hello localHello;
  private Hello remoteHello;

  Handshake(LinkContext context, boolean dialing) {
    this.context = context;
    this.dialing = dialing;
    byte[] nonce = new byte[NONCE_BYTES];
    RANDOM.nextBytes(nonce);
    localHello = new Hello(PROTOCOL_VERSION, context.self(), new Bytes(nonce));
  }

  /** Returns the hello of this end, the first message to send. */
  Hello hello() {
    return localHello;
  }

  /** Returns whether the hello of the remote end has been received. */
  boolean helloReceived() {
    return remoteHello != null;
  }

  /** Checks the hello of the remote end and returns the proof to send. */
  HelloProof onHello(LinkMessage message) {
    if (!(message instanceof Hello hello)) {
      throw new LinkException("handshake-out-of-order");
    }
    if (hello.protocolVersion() != PROTOCOL_VERSION) {
      throw new LinkException("protocol-version-" + hello.protocolVersion());
    }
    if (hello.nonce().size() != NONCE_BYTES || hello.nonce().equals(localHello.nonce())) {
      throw new LinkException("handshake-nonce");
    }
    if (hello.peer().instance().equals(localHello.peer().instance())) {
      throw new LinkException("handshake-own-name");
    }
    remoteHello = hello;
    return new HelloProof(computeProof(dialing, remoteHello, localHello));
  }

  /** Verifies the proof of the remote end and returns its identity. */
  PeerIdentity verify(LinkMessage message) {
    if (!(message instanceof HelloProof proof)) {
      throw new LinkException("handshake-out-of-order");
    }
    Bytes expected = computeProof(!dialing, localHello, remoteHello);
    if (!MessageDigest.isEqual(expected.array(), proof.code().array())) {
      throw new LinkException("handshake-proof");
    }
    return remoteHello.peer();
  }

  private Bytes computeProof(boolean senderIsDialer, Hello receiver, Hello sender) {
    try {
      Mac mac = Mac.getInstance(ALGORITHM);
      mac.init(new SecretKeySpec(context.secret().array(), ALGORITHM));
      mac.update((byte) (senderIsDialer ? 1 : 0));
      mac.update(receiver.nonce().array());
      mac.update(sender.nonce().array());
      mac.update(context.codec().encode(receiver));
      mac.update(context.codec().encode(sender));
      return new Bytes(mac.doFinal());
    } catch (GeneralSecurityException failure) {
      throw new LinkException("handshake-algorithm", failure);
    }
  }
}
