package dev.agatepier.wire.connection;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.expectThrows;

import dev.agatepier.core.connection.LinkMessage;
import dev.agatepier.core.connection.LinkMessage.FreeSlots;
import dev.agatepier.core.connection.LinkMessage.Grant;
import dev.agatepier.core.connection.VersionMessage.PageRequest;
import dev.agatepier.wire.GoldenFile;
import java.util.Arrays;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class MessagePackCodecTest {

  private final MessageCodec codec = new MessagePackCodec();

  @DataProvider
  public Object[][] sessions() {
    return LinkSessions.ALL.entrySet().stream()
        .map(entry -> new Object[] {entry.getKey(), entry.getValue()})
        .toArray(Object[][]::new);
  }

  @Test(dataProvider = "sessions")
  public void encodesAndDecodesGoldenSession(String name, List<LinkMessage> session) {
    GoldenFile golden = new GoldenFile(name + ".hex");
    golden.assertLines(
        session.stream().map(message -> HexFormat.of().formatHex(codec.encode(message))).toList());
    List<LinkMessage> decoded =
        golden.lines().stream().map(line -> codec.decode(HexFormat.of().parseHex(line))).toList();
    assertEquals(decoded, session);
  }

  @Test
  public void goldenSessionsCoverEveryMessageType() {
    Set<Class<?>> used = new HashSet<>();
    LinkSessions.ALL
        .values()
        .forEach(session -> session.forEach(message -> used.add(message.getClass())));
    assertEquals(used, records(LinkMessage.class));
  }

  /** Returns the records that a sealed interface permits, directly or through subinterfaces. */
  private static Set<Class<?>> records(Class<?> type) {
    if (type.isRecord()) {
      return Set.of(type);
    }
    return Arrays.stream(type.getPermittedSubclasses())
        .flatMap(permitted -> records(permitted).stream())
        .collect(Collectors.toSet());
  }

  @DataProvider
  public Object[][] malformed() {
    return new Object[][] {
      {"", "cannot be decoded|malformed"},
      {"c0", "malformed"},
      {"90", "message type -1 is unknown"},
      {"917f", "message type 127 is unknown"},
      {"910b", "has 0 fields, not 1"},
      {"930b0101", "has 2 fields, not 1"},
      {"920b0101", "trailing bytes"},
      {"920ba161", "malformed"},
      {"920bcf7fffffffffffffff", "malformed"},
      {"930c01db00ffffff", "text of 16777215 exceeds 16384"},
      {"930c01d9ff", "text of 255 is longer than its message"},
      {"930c01a1ff", "text is not UTF-8"},
      {"920add00ffffff", "collection of 16777215 exceeds 32768"},
      {"9202c67fffffff", "payload of 2147483647 exceeds"},
      {"9719a172010201a7" + HexFormat.of().formatHex("NOTHING".getBytes()), "has 6 fields"},
      {"9619a172010201a7" + HexFormat.of().formatHex("NOTHING".getBytes()), "malformed"},
      {"9619a172010200a8" + HexFormat.of().formatHex("DEADLINE".getBytes()), "below 1"},
      {"931e91a161cb7ff000000000000090", "not finite"},
    };
  }

  @Test(dataProvider = "malformed")
  public void rejectsMalformedMessageWithReason(String hex, String reason) {
    byte[] content = HexFormat.of().parseHex(hex);
    CodecException rejected = expectThrows(CodecException.class, () -> codec.decode(content));
    assertEquals(
        rejected.getMessage().replaceAll("^.*(" + reason + ").*$", "as expected"), "as expected");
  }

  @Test(dataProvider = "sessions")
  public void rejectsEveryTruncation(String name, List<LinkMessage> session) {
    for (LinkMessage message : session) {
      byte[] encoded = codec.encode(message);
      for (int length = 0; length < encoded.length; length++) {
        byte[] truncated = Arrays.copyOf(encoded, length);
        assertThrows(CodecException.class, () -> codec.decode(truncated));
      }
    }
  }

  @Test
  public void rejectsEncodingBeyondWireLimits() {
    assertThrows(CodecException.class, () -> codec.encode(new PageRequest("a".repeat(16_385))));
    assertEquals(codec.decode(codec.encode(new FreeSlots(-1))), new FreeSlots(-1));
    assertEquals(codec.decode(codec.encode(new Grant(-1, ""))), new Grant(-1, ""));
  }
}
