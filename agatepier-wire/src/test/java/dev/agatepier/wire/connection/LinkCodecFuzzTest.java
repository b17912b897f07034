package dev.agatepier.wire.connection;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import dev.agatepier.core.connection.LinkMessage;
import dev.agatepier.wire.Mutations;
import java.util.List;
import java.util.SplittableRandom;
import org.testng.annotations.Test;

/** Spoilt messages are refused, or decoded to what encodes to a message again; nothing else. */
public class LinkCodecFuzzTest {

  /** Seed of the run in CI; another one by {@code -Dfuzz.seed}. */
  private static final long SEED = Long.getLong("fuzz.seed", 20_261_204);

  private static final int ROUNDS = Integer.getInteger("fuzz.rounds", 60_000);

  @Test
  public void spoiltMessagesHarmNothing() {
    MessagePackCodec codec = new MessagePackCodec();
    List<byte[]> sound =
        LinkSessions.ALL.values().stream().flatMap(List::stream).map(codec::encode).toList();
    SplittableRandom random = new SplittableRandom(SEED);
    int decoded = 0;
    for (int round = 0; round < ROUNDS; round++) {
      byte[] spoilt = Mutations.of(sound.get(random.nextInt(sound.size())), random);
      try {
        LinkMessage message = codec.decode(spoilt);
        assertEquals(codec.decode(codec.encode(message)), message);
        decoded++;
      } catch (CodecException refused) {
        assertTrue(refused.getMessage().length() > 0, "a refusal says why");
      }
    }
    assertTrue(decoded > 0 && decoded < ROUNDS);
  }
}
