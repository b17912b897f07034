package dev.agatepier.wire.connection;

import dev.agatepier.core.connection.LinkMessage.Hello;
import dev.agatepier.core.request.Bytes;
import java.security.GeneralSecurityException;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/** The proof of the handshake as the protocol describes it, written apart from the product. */
final class HandshakeProofs {

  private HandshakeProofs() {}

  static Bytes dialerProof(Bytes secret, Hello receiver, Hello sender) {
    try {
      Mac mac = Mac.getInstance("HmacSHA256");
      mac.init(new SecretKeySpec(secret.array(), "HmacSHA256"));
      mac.update((byte) 1);
      mac.update(receiver.nonce().array());
      mac.update(sender.nonce().array());
      mac.update(new MessagePackCodec().encode(receiver));
      mac.update(new MessagePackCodec().encode(sender));
      return new Bytes(mac.doFinal());
    } catch (GeneralSecurityException failure) {
      throw new IllegalStateException(failure);
    }
  }
}
