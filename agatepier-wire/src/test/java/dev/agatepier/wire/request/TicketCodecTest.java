package dev.agatepier.wire.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import dev.agatepier.core.request.Bytes;
import dev.agatepier.core.request.RequestId;
import dev.agatepier.core.request.Ticket;
import org.testng.annotations.Test;

public class TicketCodecTest {

  private static final Ticket TICKET =
      new Ticket("howrah", "chair-desk", "desk-2", 5, 99, new RequestId("router-1", 7, 3));

  private final TicketCodec codec = new TicketCodec(Bytes.ofText("secret"));

  @Test
  public void decodesEncodedTicket() {
    assertEquals(codec.decode(codec.encode(TICKET)), TICKET);
  }

  @Test
  public void rejectsTicketWithAnyChangedCharacter() {
    String text = codec.encode(TICKET);
    for (int index = 0; index < text.length(); index++) {
      char replacement = text.charAt(index) == 'A' ? 'z' : 'A';
      String changed = text.substring(0, index) + replacement + text.substring(index + 1);
      assertThrows(TicketException.class, () -> codec.decode(changed));
    }
  }

  @Test
  public void rejectsMalformedAndForeignTickets() {
    String foreign = new TicketCodec(Bytes.ofText("other")).encode(TICKET);
    for (String text : new String[] {"", ".", "a.b", "!.!", foreign, "a".repeat(5_000) + "."}) {
      assertThrows(TicketException.class, () -> codec.decode(text));
    }
  }
}
