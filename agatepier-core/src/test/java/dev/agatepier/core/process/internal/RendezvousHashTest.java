package dev.agatepier.core.process.internal;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.testng.annotations.Test;

public class RendezvousHashTest {
  private static final List<String> NAMES = List.of("a-1", "a-2", "a-3", "a-4");

  @Test
  public void choosesNothingWithoutNames() {
    assertEquals(RendezvousHash.choose("key", List.of()), Optional.empty());
  }

  @Test
  public void movesOnlyKeysOfRemovedName() {
    List<String> fewer = new ArrayList<>(NAMES);
    fewer.remove("a-2");
    Map<String, Integer> counts = new HashMap<>();
    for (int number = 0; number < 4_000; number++) {
      String chosen = RendezvousHash.choose("service-" + number, NAMES).orElseThrow();
      counts.merge(chosen, 1, Integer::sum);
      if (!chosen.equals("a-2")) {
        assertEquals(RendezvousHash.choose("service-" + number, fewer).orElseThrow(), chosen);
      }
    }
    assertTrue(counts.values().stream().allMatch(count -> count > 800), counts.toString());
  }
}
