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

/** Tickets as texts that callers hold: the ticket and a code that only the fleet can make. */
public final class TicketCodec {

  /** Longest text of a ticket, in characters. */
  public static final int MAXIMUM_CHARACTERS = 4_096;

  private static final String ALGORITHM = "HmacSHA256";

  /** Keeps codes of tickets apart from other uses of the same secret. */
  private static final byte[] PURPOSE = "agatepier-ticket-1".getBytes(StandardCharsets.US_ASCII);

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final Bytes secret;

  /** Creates the codec of a fleet with its shared secret. */
  public TicketCodec(Bytes secret) {
    this.secret = secret;
  }

  /** Returns the text of a ticket. */
  public String encode(Ticket ticket) {
    try {
      byte[] content = MAPPER.writeValueAsBytes(ticket);
      Base64.Encoder encoder = Base64.getUrlEncoder().withoutPadding();
      return encoder.encodeToString(content) + "." + encoder.encodeToString(code(content));
    } catch (JsonProcessingException failure) {
      throw new TicketException("the ticket cannot be encoded", failure);
    }
  }

  /** Returns the ticket of a text; fails with {@link TicketException} on any other text. */
  public Ticket decode(String text) {
    int dot = text.indexOf('.');
    if (dot < 0 || text.length() > MAXIMUM_CHARACTERS) {
      throw new TicketException("the text is no ticket");
    }
    try {
      byte[] content = Base64.getUrlDecoder().decode(text.substring(0, dot));
      byte[] code = Base64.getUrlDecoder().decode(text.substring(dot + 1));
      if (!MessageDigest.isEqual(code, code(content))) {
        throw new TicketException("the ticket was not issued by this fleet");
      }
      return MAPPER.readValue(content, Ticket.class);
    } catch (IllegalArgumentException | IOException malformed) {
      throw new TicketException("the text is no ticket", malformed);
    }
  }

  private byte[] code(byte[] content) {
    try {
      Mac mac = Mac.getInstance(ALGORITHM);
      mac.init(new SecretKeySpec(secret.array(), ALGORITHM));
      mac.update(PURPOSE);
      return mac.doFinal(content);
    } catch (GeneralSecurityException failure) {
      throw new TicketException("the ticket's algorithm is missing", failure);
    }
  }
}
