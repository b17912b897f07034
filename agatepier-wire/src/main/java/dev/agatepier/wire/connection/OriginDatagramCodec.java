package dev.agatepier.wire.connection;

import dev.agatepier.core.connection.StreamMessage;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Arrays;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Encodes the datagrams between routers and origin caches: a link message after the first half of
 * its HMAC-SHA-256, keyed with the shared secret of the fleet. A repeated datagram has no effect,
 * so they carry no nonce. Not thread-safe.
 */
public final class OriginDatagramCodec {

  /** Maximum size of a datagram, in bytes; it fits one packet. */
  public static final int MAXIMUM_BYTES = 1_200;

  private static final String ALGORITHM = "HmacSHA256";
  private static final int CODE_BYTES = 16;

  private final MessageCodec messages = new MessagePackCodec();
  private final Mac mac;

  /** Creates a codec with the shared secret of the fleet. */
  public OriginDatagramCodec(byte[] secret) {
    try {
      mac = Mac.getInstance(ALGORITHM);
      mac.init(new SecretKeySpec(secret, ALGORITHM));
    } catch (GeneralSecurityException missing) {
      throw new IllegalStateException("every Java runtime must provide " + ALGORITHM, missing);
    }
  }

  /** Returns the datagram of a message; throws {@link CodecException} if it would be too large. */
  public byte[] encode(StreamMessage message) {
    byte[] content = messages.encode(message);
    if (content.length > MAXIMUM_BYTES - CODE_BYTES) {
      throw new CodecException("message of " + content.length + " bytes is too large");
    }
    byte[] datagram = Arrays.copyOf(mac.doFinal(content), CODE_BYTES + content.length);
    System.arraycopy(content, 0, datagram, CODE_BYTES, content.length);
    return datagram;
  }

  /** Returns the message of a datagram; throws {@link CodecException} if it is not authentic. */
  public StreamMessage decode(byte[] datagram) {
    if (datagram.length <= CODE_BYTES) {
      throw new CodecException("datagram of " + datagram.length + " bytes is too small");
    }
    byte[] content = Arrays.copyOfRange(datagram, CODE_BYTES, datagram.length);
    byte[] code = Arrays.copyOf(datagram, CODE_BYTES);
    if (!MessageDigest.isEqual(Arrays.copyOf(mac.doFinal(content), CODE_BYTES), code)) {
      throw new CodecException("datagram is not authentic");
    }
    if (messages.decode(content) instanceof StreamMessage message) {
      return message;
    }
    throw new CodecException("datagram has a message of another kind");
  }
}
