package dev.agatepier.core.process.internal;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.connection.Role;
import dev.agatepier.core.request.StreamKey;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class OriginRoutersTest {

  private static final int ROUTERS = 24;
  private static final int KEYS = 200;

  @DataProvider
  public Object[][] dataCentres() {
    return new Object[][] {{1}, {2}, {4}};
  }

  /** Otherwise the routers that hold an origin would not be asked after others have ended. */
  @Test(dataProvider = "dataCentres")
  public void selectedRoutersStaySelectedWhileOthersEnd(int dataCentres) {
    Random random = new Random(5);
    for (int index = 0; index < KEYS; index++) {
      StreamKey key = StreamKey.of("w", "s", "label-" + index);
      List<PeerIdentity> routers = routers(dataCentres);
      List<String> holders = OriginRouters.select(key, routers, OriginRouters.HOLDERS);
      routers.removeIf(router -> random.nextBoolean());
      Set<String> left = routers.stream().map(PeerIdentity::instance).collect(Collectors.toSet());
      List<String> asked = OriginRouters.select(key, routers, OriginRouters.HOLDERS);
      holders.stream()
          .filter(left::contains)
          .forEach(holder -> assertTrue(asked.contains(holder), holder + " in " + asked));
    }
  }

  /** A data centre that fails must not take all holders of an origin with it. */
  @Test
  public void selectedRoutersAreInDifferentDataCentres() {
    for (int index = 0; index < KEYS; index++) {
      List<PeerIdentity> routers = routers(4);
      Set<String> selected =
          new HashSet<>(OriginRouters.select(StreamKey.of("w", "s", "l" + index), routers, 3));
      long distinct =
          routers.stream()
              .filter(router -> selected.contains(router.instance()))
              .map(PeerIdentity::dataCentre)
              .distinct()
              .count();
      assertEquals(distinct, 3);
    }
  }

  @Test
  public void selectsAllRoutersIfThereAreFew() {
    assertEquals(
        OriginRouters.select(StreamKey.of("w", "s", "l"), routers(2).subList(0, 2), 3).size(), 2);
  }

  private static List<PeerIdentity> routers(int dataCentres) {
    List<PeerIdentity> routers = new ArrayList<>();
    for (int index = 0; index < ROUTERS; index++) {
      String dataCentre = "d" + index % dataCentres;
      routers.add(new PeerIdentity("r" + index, 1, Role.ROUTER, dataCentre, "region", ""));
    }
    return routers;
  }
}
