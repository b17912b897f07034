package dev.agatepier.wire.request;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import dev.agatepier.core.request.Bytes;
import dev.agatepier.core.request.Ticket;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Base64;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Encodes tickets as text for callers: the ticket as JSON and a message authentication code (MAC)
 * over it, which only the fleet can compute.
 */
public final class TicketCodec {

  /** Maximum length of an encoded ticket, in characters. */
  public static final int MAXIMUM_CHARACTERS = 4_096;

  private static final String ALGORITHM = "HmacSHA256";

  /** Separates the MACs of tickets from other uses of the same secret. */
  private static final byte[] DOMAIN_SEPARATOR =
      "agatepier-ticket-1".getBytes(StandardCharsets.US_ASCII);

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final Bytes secret;

  /** Creates a codec that uses the fleet's shared secret as the MAC key. */
  public TicketCodec(Bytes secret) {
    this.secret = secret;
  }

  /** Returns the ticket as URL-safe text. */
  public String encode(Ticket ticket) {
    try {
      byte[] content = MAPPER.writeValueAsBytes(ticket);
      Base64.Encoder encoder = Base64.getUrlEncoder().withoutPadding();
      return encoder.encodeToString(content) + "." + encoder.encodeToString(computeMac(content));
    } catch (JsonProcessingException failure) {
      throw new TicketException("the ticket cannot be encoded", failure);
    }
  }

  /**
   * Verifies and decodes an encoded ticket.
   *
   * @throws TicketException if the text is malformed or its MAC is wrong
   */
  public Ticket decode(String text) {
    int dot = text.indexOf('.');
    if (dot < 0 || text.length() > MAXIMUM_CHARACTERS) {
      throw new TicketException("the text is no ticket");
    }
    try {
      byte[] content = Base64.getUrlDecoder().decode(text.substring(0, dot));
      byte[] mac = Base64.getUrlDecoder().decode(text.substring(dot + 1));
      if (!MessageDigest.isEqual(mac, computeMac(content))) {
        throw new TicketException("the ticket was not issued by this fleet");
      }
      return MAPPER.readValue(content, Ticket.class);
    } catch (IllegalArgumentException | IOException malformed) {
      throw new TicketException("the text is no ticket", malformed);
    }
  }

  private byte[] computeMac(byte[] content) {
    try {
      Mac mac = Mac.getInstance(ALGORITHM);
      mac.init(new SecretKeySpec(secret.array(), ALGORITHM));
      mac.update(DOMAIN_SEPARATOR);
      return mac.doFinal(content);
    } catch (GeneralSecurityException failure) {
      throw new TicketException("the ticket's algorithm is missing", failure);
    }
  }
}
