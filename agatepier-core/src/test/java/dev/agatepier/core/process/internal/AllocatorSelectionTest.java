package dev.agatepier.core.process.internal;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.connection.Role;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.testng.annotations.Test;

public class AllocatorSelectionTest {

  private static PeerIdentity router(String name, int capacity) {
    return new PeerIdentity(name, 1, Role.ROUTER, "a1", "a", "", capacity);
  }

  /** All callers of a data centre wait for its allocator, so that it must not be a small router. */
  @Test
  public void selectsNoRouterOfSmallCapacity() {
    List<PeerIdentity> routers = new ArrayList<>();
    for (int index = 0; index < 8; index++) {
      routers.add(router("r" + index, index < 2 ? 1_500 : 270));
    }
    for (int service = 0; service < 20; service++) {
      Optional<String> selected = AllocatorSelection.select("s" + service, "a1", routers);
      assertTrue(List.of("r0", "r1").contains(selected.orElseThrow()), "selected " + selected);
    }
    assertEquals(AllocatorSelection.select("s", "a1", routers.subList(2, 3)), Optional.of("r2"));
  }

  @Test
  public void selectsAmongAllRoutersOfUnknownCapacity() {
    List<PeerIdentity> routers = List.of(router("r0", 0), router("r1", 0), router("r2", 0));
    long selected =
        IntStream.range(0, 50)
            .mapToObj(service -> AllocatorSelection.select("s" + service, "a1", routers))
            .distinct()
            .count();
    assertEquals(selected, 3);
  }
}
