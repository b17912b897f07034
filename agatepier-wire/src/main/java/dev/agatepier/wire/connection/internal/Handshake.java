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

/** Both ends prove that they hold the fleet's shared secret, each over the other's nonce. */
final class Handshake {

  /** Version of the link protocol. */
  static final int PROTOCOL_VERSION = 1;

  /** Length of a nonce, in bytes. */
  static final int NONCE_BYTES = 16;

  private static final String ALGORITHM = "HmacSHA256";
  private static final SecureRandom RANDOM = new SecureRandom();

  private final LinkContext context;
  private final boolean dialing;
  private final Hello own;
  private Hello other;

  Handshake(LinkContext context, boolean dialing) {
    this.context = context;
    this.dialing = dialing;
    byte[] nonce = new byte[NONCE_BYTES];
    RANDOM.nextBytes(nonce);
    own = new Hello(PROTOCOL_VERSION, context.self(), new Bytes(nonce));
  }

  /** Returns the first message to send. */
  Hello hello() {
    return own;
  }

  /** Returns whether the other end has said who it is. */
  boolean helloReceived() {
    return other != null;
  }

  /** Takes the other end's hello and returns the proof to send. */
  HelloProof onHello(LinkMessage message) {
    if (!(message instanceof Hello hello)) {
      throw new LinkException("handshake-out-of-order");
    }
    if (hello.protocolVersion() != PROTOCOL_VERSION) {
      throw new LinkException("protocol-version-" + hello.protocolVersion());
    }
    if (hello.nonce().size() != NONCE_BYTES || hello.nonce().equals(own.nonce())) {
      throw new LinkException("handshake-nonce");
    }
    if (hello.peer().instance().equals(own.peer().instance())) {
      throw new LinkException("handshake-own-name");
    }
    other = hello;
    return new HelloProof(proof(dialing, other, own));
  }

  /** Checks the other end's proof and returns who it is. */
  PeerIdentity verifyProof(LinkMessage message) {
    if (!(message instanceof HelloProof proof)) {
      throw new LinkException("handshake-out-of-order");
    }
    Bytes expected = proof(!dialing, own, other);
    if (!MessageDigest.isEqual(expected.array(), proof.code().array())) {
      throw new LinkException("handshake-proof");
    }
    return other.peer();
  }

  private Bytes proof(boolean senderDials, Hello receiver, Hello sender) {
    try {
      Mac mac = Mac.getInstance(ALGORITHM);
      mac.init(new SecretKeySpec(context.secret().array(), ALGORITHM));
      mac.update((byte) (senderDials ? 1 : 0));
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
