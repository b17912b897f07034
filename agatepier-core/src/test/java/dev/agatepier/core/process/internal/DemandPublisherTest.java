package dev.agatepier.core.process.internal;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import dev.agatepier.core.connection.LinkMessage.DemandUpdate;
import dev.agatepier.core.connection.LinkMessage.FreeSlots;
import dev.agatepier.core.connection.LinkMessage.GrantDeclined;
import dev.agatepier.core.connection.LinkMessage.Heartbeat;
import dev.agatepier.core.connection.LinkMessage.WorkspaceDemand;
import dev.agatepier.core.connection.Role;
import dev.agatepier.core.process.RouterEvent;
import dev.agatepier.core.process.RouterFixture;
import dev.agatepier.core.process.RouterPolicy;
import dev.agatepier.core.request.RequestId;
import dev.agatepier.core.version.Instance;
import dev.agatepier.core.version.InstanceList;
import dev.agatepier.core.version.Limits;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.testng.annotations.Test;

public class DemandPublisherTest {

  @Test
  public void sendsChangesImmediatelyOnlyWhenQueuesBecomeEmptyOrNonEmpty() {
    RouterFixture router = new RouterFixture();
    router.link("s1", 1, "a1");
    router.advance(50);
    call(router, 3);
    assertEquals(waiting(router, "s1"), List.of(1));
    router.advance(49);
    assertEquals(waiting(router, "s1"), List.of(1));
    router.advance(1);
    assertEquals(waiting(router, "s1"), List.of(1, 3));
    router.advance(50);
    assertEquals(waiting(router, "s1"), List.of(1, 3), "nothing changed");
    router.run("grant s1; grant s1; grant s1");
    assertEquals(waiting(router, "s1"), List.of(1, 3, 0));
  }

  @Test
  public void sendsOnlyOldDemandToOtherRegions() {
    RouterFixture router = new RouterFixture();
    router.link("s1", 1, "a1");
    router.link("s9", 1, "b1");
    call(router, 1);
    router.advance(499);
    assertEquals(waiting(router, "s9"), List.of());
    router.grant("s9", "w");
    assertEquals(router.sent("s9", GrantDeclined.class).size(), 1);
    router.advance(50);
    assertEquals(waiting(router, "s9").getLast(), 1);
    router.grant("s9", "w");
    assertEquals(router.sent("s9", GrantDeclined.class).size(), 1);
  }

  @Test
  public void spillsWhileOtherEventsArrive() {
    RouterFixture router = new RouterFixture();
    router.link("s9", 1, "b1");
    call(router, 1);
    for (int millis = 0; millis < 600; millis += 10) {
      router.now += 10 * RouterFixture.MILLI;
      router.dispatch(new RouterEvent.ResponseConsumed(new RequestId("r1", 1, 99), 1));
      router.advance(0);
    }
    assertEquals(waiting(router, "s9"), List.of(1));
  }

  @Test
  public void prefersTheOwnDataCentreInTheSubsetOfSidecars() {
    RouterPolicy policy = new RouterPolicy(4, 500, 50, 3, 3, 600_000, 1, 1, 10_000, 50, 80, 0.1);
    RouterFixture router = new RouterFixture(policy, new Limits(10, 5, 0), 0);
    IntStream.range(0, 3).forEach(index -> router.link("s" + index, 1, "a1"));
    IntStream.range(3, 9).forEach(index -> router.link("s" + index, 1, "a2"));
    call(router, 1);
    List<Integer> notified =
        IntStream.range(0, 9)
            .filter(index -> !waiting(router, "s" + index).isEmpty())
            .boxed()
            .toList();
    assertEquals(notified.size(), 4);
    assertTrue(notified.containsAll(List.of(0, 1, 2)), notified.toString());
  }

  @Test
  public void sendsAllDemandToSidecarsThatLinkOrHaveFreeSlots() {
    RouterFixture router = new RouterFixture();
    call(router, 2);
    router.link("s1", 1, "a1");
    assertEquals(waiting(router, "s1"), List.of(2));
    router.message(router.linked.get("s1"), new FreeSlots(1));
    assertEquals(waiting(router, "s1"), List.of(2, 2));
  }

  @Test
  public void sendsNoDemandBeyondTheRunningLimit() {
    RouterFixture router = new RouterFixture(RouterPolicy.DEFAULT, new Limits(10, 1, 0), 0);
    router.link("s1", 1, "a1");
    call(router, 2);
    router.run("grant s1");
    assertEquals(waiting(router, "s1").getLast(), 0);
    router.run("grant s1");
    assertEquals(router.sent("s1", GrantDeclined.class).size(), 1);
    router.run("head; end 0");
    assertEquals(waiting(router, "s1").getLast(), 1);
  }

  @Test
  public void withdrawsDemandFromSidecarsThatLeave() {
    for (boolean listed : new boolean[] {true, false}) {
      RouterFixture router = new RouterFixture();
      router.link("s1", 1, "a1");
      call(router, 1);
      if (listed) {
        Instance leaving =
            new Instance(
                "s1", Role.SIDECAR, "127.0.0.1", 1, 2, "a1", "a", RouterFixture.SERVICE, true);
        router.dispatch(new RouterEvent.InstancesActivated(new InstanceList(2, List.of(leaving))));
      } else {
        router.message(router.linked.get("s1"), new Heartbeat(1, 1, true, 900));
      }
      assertEquals(waiting(router, "s1"), List.of(1, 0));
      router.run("grant s1");
      assertEquals(router.sent("s1", GrantDeclined.class).size(), 1);
    }
  }

  private static void call(RouterFixture router, int times) {
    for (int call = 0; call < times; call++) {
      router.call("w", "POST", "body", Optional.empty());
    }
  }

  private static List<Integer> waiting(RouterFixture router, String sidecar) {
    return router.sent(sidecar, DemandUpdate.class).stream()
        .flatMap(update -> update.changes().stream())
        .map(WorkspaceDemand::waiting)
        .toList();
  }
}
