package dev.agatepier.core.version;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import dev.agatepier.core.request.CallPlan;
import dev.agatepier.core.version.Route.WeightedService;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class RouteIndexTest {

  private static final CallPlan PLAN = new CallPlan("r", true, false, false, 2, 1_000, 100, 0, 1);

  private final RouteIndex index =
      new RouteIndex(
          List.of(
              route("a.example", "/", "root"),
              route("a.example", "/plans/", "plans"),
              route("a.example", "/plans/full/", "full"),
              route("a.example", "/plans/", "second"),
              route("b.example", "/x/", "other")));

  @DataProvider
  public Object[][] calls() {
    return new Object[][] {
      {"a.example", "/plans/full/1", "full"},
      {"a.example", "/plans/full/", "full"},
      {"a.example", "/plans/full", "plans"},
      {"a.example", "/plans/1", "plans"},
      {"a.example", "/plans", "root"},
      {"a.example", "/", "root"},
      {"b.example", "/x/1", "other"},
      {"b.example", "/y/", "none"},
      {"c.example", "/x/", "none"},
    };
  }

  @Test(dataProvider = "calls")
  public void findsLongestPrefixOfTheHost(String host, String path, String service) {
    assertEquals(index.find(host, path).map(route -> route.service(0)).orElse("none"), service);
  }

  @Test
  public void sharesCallsByWeight() {
    Route route =
        new Route(
            "a",
            "/",
            List.of(
                new WeightedService("most", 90),
                new WeightedService("none", 0),
                new WeightedService("few", 10)),
            PLAN,
            false);
    assertEquals(route.service(0.0), "most");
    assertEquals(route.service(0.899), "most");
    assertEquals(route.service(0.901), "few");
    assertEquals(route.service(0.999), "few");
  }

  @Test
  public void rejectsRoutesWithoutService() {
    assertThrows(IllegalArgumentException.class, () -> new Route("a", "/", List.of(), PLAN, false));
  }

  private static Route route(String host, String prefix, String service) {
    return new Route(host, prefix, List.of(new WeightedService(service, 1)), PLAN, false);
  }
}
