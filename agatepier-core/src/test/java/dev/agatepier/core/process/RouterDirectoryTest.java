package dev.agatepier.core.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.connection.Role;
import dev.agatepier.core.version.Instance;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.testng.annotations.Test;

public class RouterDirectoryTest {

  private static final long SECOND = 1_000_000_000L;

  private final Map<String, RouterDirectory> directories = new HashMap<>();
  private final Map<String, TreeSet<String>> published = new HashMap<>();
  private final Deque<Runnable> queue = new ArrayDeque<>();
  private long now;

  /** Routers that each know only one seed discover all routers. */
  @Test
  public void allRoutersDiscoverEachOtherThroughOneSeed() {
    for (String name : List.of("a", "b", "c", "d")) {
      directories.put(name, new RouterDirectory(instance(name)));
    }
    for (String name : List.of("b", "c", "d")) {
      link(name, "a");
    }
    runQueue();
    for (String name : directories.keySet()) {
      TreeSet<String> others = new TreeSet<>(directories.keySet());
      others.remove(name);
      assertEquals(published.get(name), others, "known to " + name);
    }
  }

  @Test
  public void removesRoutersThatNobodyReaches() {
    directories.put("a", new RouterDirectory(instance("a")));
    directories.put("b", new RouterDirectory(instance("b")));
    link("a", "b");
    runQueue();
    dispatch("a", new RouterDirectoryEvent.PeerDisconnected(identity("b")));
    now += 31 * SECOND;
    dispatch("a", new RouterDirectoryEvent.Tick());
    assertTrue(published.get("a").isEmpty());
  }

  @Test
  public void keepsReachableRouters() {
    directories.put("a", new RouterDirectory(instance("a")));
    directories.put("b", new RouterDirectory(instance("b")));
    link("a", "b");
    runQueue();
    for (int second = 0; second < 60; second++) {
      now += SECOND;
      dispatch("a", new RouterDirectoryEvent.Tick());
    }
    assertEquals(published.get("a"), new TreeSet<>(List.of("b")));
  }

  private void link(String one, String other) {
    queue.add(() -> dispatch(one, new RouterDirectoryEvent.PeerConnected(identity(other))));
    queue.add(() -> dispatch(other, new RouterDirectoryEvent.PeerConnected(identity(one))));
  }

  private void runQueue() {
    while (!queue.isEmpty()) {
      queue.poll().run();
    }
  }

  private void dispatch(String name, RouterDirectoryEvent event) {
    for (RouterDirectoryEffect effect : directories.get(name).decide(event, now)) {
      switch (effect) {
        case RouterDirectoryEffect.Send send ->
            queue.add(
                () ->
                    dispatch(
                        send.instance(),
                        new RouterDirectoryEvent.RoutersReported(name, send.message().routers())));
        case RouterDirectoryEffect.Publish(List<Instance> routers) -> {
          TreeSet<String> names = new TreeSet<>();
          routers.forEach(router -> names.add(router.name()));
          published.put(name, names);
        }
      }
    }
  }

  private static Instance instance(String name) {
    return new Instance(name, Role.ROUTER, "127.0.0.1", 1, 2, "a1", "a", "", false);
  }

  private static PeerIdentity identity(String name) {
    return new PeerIdentity(name, 1, Role.ROUTER, "a1", "a", "");
  }
}
