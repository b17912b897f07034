package dev.agatepier.wire.connection;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import dev.agatepier.core.connection.LinkMessage;
import dev.agatepier.wire.Mutations;
import java.util.List;
import java.util.SplittableRandom;
import org.testng.annotations.Test;

/**
 * The decoder either rejects a corrupted message with {@link CodecException} or returns a message
 * that survives encoding and decoding; any other exception fails the test.
 */
public class LinkCodecFuzzTest {

  /** Seed of the CI run; {@code -Dfuzz.seed} overrides it. */
  private static final long SEED = Long.getLong("fuzz.seed", 20_261_204);

  private static final int ROUNDS = Integer.getInteger("fuzz.rounds", 60_000);

  @Test
  public void rejectsCorruptedMessagesOrDecodesThemConsistently() {
    MessagePackCodec codec = new MessagePackCodec();
    List<byte[]> valid =
        LinkSessions.ALL.values().stream().flatMap(List::stream).map(codec::encode).toList();
    SplittableRandom random = new SplittableRandom(SEED);
    int decoded = 0;
    for (int round = 0; round < ROUNDS; round++) {
      byte[] corrupted = Mutations.of(valid.get(random.nextInt(valid.size())), random);
      try {
        LinkMessage message = codec.decode(corrupted);
        assertEquals(codec.decode(codec.encode(message)), message);
        decoded++;
      } catch (CodecException rejected) {
        assertTrue(rejected.getMessage().length() > 0, "the exception has a message");
      }
    }
    assertTrue(decoded > 0 && decoded < ROUNDS);
  }
}
