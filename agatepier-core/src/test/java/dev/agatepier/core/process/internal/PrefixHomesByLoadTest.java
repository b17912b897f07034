package dev.agatepier.core.process.internal;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import dev.agatepier.core.connection.SlotMessage.MeasuredCapacity;
import dev.agatepier.core.request.UpstreamNotice;
import dev.agatepier.core.version.InstanceList;
import dev.agatepier.core.version.Upstream;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Homes of prefixes in three data centres of four engines, and how they change. */
public class PrefixHomesByLoadTest {

  private static final String SERVICE = "m";
  private static final int PREFIXES = 600;
  private static final int SENDERS = 30;
  private static final long SECOND = 1_000_000_000;
  private static final MeasuredCapacity USUAL = new MeasuredCapacity(4, 5, 0.018);

  private KnownUpstreams known;
  private final List<Upstream> engines = engines();
  private PrefixHomesByLoad homes;
  private long nowNanos;

  /** Starts without load and notices, with equal speeds. */
  @BeforeMethod
  public void reset() {
    nowNanos = SECOND;
    known = new KnownUpstreams();
    homes = newHomes();
  }

  private static List<Upstream> engines() {
    List<Upstream> engines = new ArrayList<>();
    for (String dataCentre : List.of("a", "b", "c")) {
      for (int index = 0; index < 4; index++) {
        engines.add(
            new Upstream(dataCentre + index, 1, SERVICE, "127.0.0.1", 80, dataCentre, 64, false));
      }
    }
    return engines;
  }

  private PrefixHomesByLoad newHomes() {
    PrefixHomesByLoad created = new PrefixHomesByLoad(known);
    reportUsual(created);
    return created;
  }

  private void reportUsual(PrefixHomesByLoad to) {
    List.of("a", "b", "c").forEach(name -> to.recordCapacity(SERVICE, name, USUAL, nowNanos));
  }

  private List<String> homes(PrefixHomes from, String prefix, List<Upstream> candidates) {
    return from
        .homes(SERVICE, new SharedPrefix(prefix, 5_000, 1_000), candidates, SENDERS, nowNanos)
        .upstreams()
        .stream()
        .map(Upstream::name)
        .toList();
  }

  private Map<String, String> onlyHomes(PrefixHomes from, List<Upstream> candidates) {
    Map<String, String> result = new TreeMap<>();
    for (int index = 0; index < PREFIXES; index++) {
      List<String> found = homes(from, "p" + index, candidates);
      assertEquals(found.size(), 1);
      result.put("p" + index, found.getFirst());
    }
    return result;
  }

  /** Guards against a prefix with a high load that keeps its one home, and one that keeps many. */
  @Test
  public void homesFollowTheLoad() {
    List<String> most = List.of();
    for (int request = 0; request < 40; request++) {
      nowNanos += SECOND / 10;
      reportUsual(homes);
      List<String> found = homes(homes, "hot", engines);
      assertTrue(found.containsAll(most), "a growing load moved a home");
      most = found;
    }
    // 40 of 300 requests a second in 4 s, 23 ms each, averaged over 10 s: 2.3 engines in use.
    assertTrue(most.size() >= 4 && most.size() <= 6, most.toString());
    nowNanos += SECOND;
    reportUsual(homes);
    assertEquals(homes(homes, "hot", engines), most, "released while it may still be needed");
    nowNanos += 30 * SECOND;
    reportUsual(homes);
    assertEquals(homes(homes, "hot", engines), most.subList(0, 1));
  }

  /** Guards against routers with other counts of requests that choose other engines. */
  @Test
  public void routersWithLessLoadHaveSomeOfTheSameHomes() {
    PrefixHomesByLoad other = newHomes();
    for (int request = 0; request < 60; request++) {
      nowNanos += SECOND / 10;
      reportUsual(homes);
      reportUsual(other);
      List<String> more = homes(homes, "hot", engines);
      List<String> fewer = request % 3 == 0 ? homes(other, "hot", engines) : more.subList(0, 1);
      assertEquals(fewer, more.subList(0, fewer.size()));
    }
  }

  /** Guards against a loss that moves other prefixes, or all of the lost engine to one. */
  @Test
  public void lossMovesOnlyPrefixesOfTheEngineToManyOthers() {
    Map<String, String> before = onlyHomes(homes, engines);
    Map<String, String> after =
        onlyHomes(newHomes(), engines.stream().filter(e -> !e.name().equals("b1")).toList());
    Set<String> heirs = new HashSet<>();
    before.forEach(
        (prefix, home) -> {
          if (home.equals("b1")) {
            heirs.add(after.get(prefix));
          } else {
            assertEquals(after.get(prefix), home);
          }
        });
    assertTrue(heirs.size() >= 8, heirs.toString());
  }

  /** Guards against slow engines that are the homes of as many prefixes as fast ones. */
  @Test
  public void slowDataCentreIsHomeOfFewerPrefixes() {
    MeasuredCapacity slow = new MeasuredCapacity(4, 5, 2.5 * USUAL.tokenMillis());
    homes = new PrefixHomesByLoad(known);
    homes.recordCapacity(SERVICE, "a", USUAL, SECOND);
    homes.recordCapacity(SERVICE, "b", slow, SECOND);
    homes.recordCapacity(SERVICE, "c", USUAL, SECOND);
    long atSlow =
        onlyHomes(homes, engines).values().stream().filter(name -> name.startsWith("b")).count();
    // A sixth of the speed; 600 prefixes give 100, with a standard deviation of 9.
    assertTrue(atSlow > 70 && atSlow < 130, "" + atSlow);
  }

  /** Guards against homes that move whenever the measured speed changes a little. */
  @Test
  public void momentarySlownessMovesNoHome() {
    Map<String, String> before = onlyHomes(homes, engines);
    for (int report = 0; report < 4; report++) {
      nowNanos += SECOND / 4;
      homes.recordCapacity(SERVICE, "a", USUAL, nowNanos);
      homes.recordCapacity(SERVICE, "b", new MeasuredCapacity(4, 5, 0.02), nowNanos);
    }
    assertEquals(onlyHomes(homes, engines), before);
  }

  /** Guards against homes by load where no capacity is measured. */
  @Test
  public void withoutCapacityThereIsOneHomeByName() {
    homes = new PrefixHomesByLoad(known);
    for (int request = 0; request < 100; request++) {
      assertEquals(homes(homes, "hot", engines), homes(PrefixHomes.ONE, "hot", engines));
    }
  }

  /** Guards against a home that has said that it is leaving. */
  @Test
  public void leavingUpstreamIsNoHome() {
    known.update(new InstanceList(1, List.of(), engines));
    String home = homes(homes, "p", engines).getFirst();
    Upstream leaving =
        engines.stream().filter(e -> e.name().equals(home)).findFirst().orElseThrow();
    known.onNotice(leaving, new UpstreamNotice(true, OptionalLong.empty()), nowNanos);
    assertFalse(homes(homes, "p", engines).contains(home));
  }
}
