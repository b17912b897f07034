package dev.agatepier.core.process.internal;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotSame;
import static org.testng.Assert.assertSame;
import static org.testng.Assert.assertTrue;

import dev.agatepier.core.connection.SlotMessage.WaitingCall;
import dev.agatepier.core.process.SlotAllocatorPolicy;
import dev.agatepier.core.process.internal.UpstreamChoice.Candidate;
import dev.agatepier.core.request.PromptMetadata;
import dev.agatepier.core.request.PromptPart;
import dev.agatepier.core.request.RequestId;
import dev.agatepier.core.version.DataCentreRegions;
import dev.agatepier.core.version.ServiceKind;
import dev.agatepier.core.version.Upstream;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Choice among six engines of equal speed that have no prefix cached. */
public class HomeChoiceTest {

  private static final long SECOND = 1_000_000_000;

  private final List<Integer> counts = new ArrayList<>();
  private ServiceUpstreams upstreams;
  private HomeChoice choice;
  private long nowNanos;

  /** Lists the engines. */
  @BeforeMethod
  public void reset() {
    nowNanos = SECOND;
    counts.clear();
    upstreams = new ServiceUpstreams("m", SlotAllocatorPolicy.DEFAULT, new ArrayList<>());
    upstreams.update(
        IntStream.range(0, 6)
            .mapToObj(index -> new Upstream("e" + index, 1, "m", "127.0.0.1", 80, "a", 64, false))
            .toList(),
        Set.of(),
        0,
        Set.of(),
        0);
    choice =
        new HomeChoice(
            new UsableUpstreams(
                SlotRule.of(ServiceKind.MODEL, SlotAllocatorPolicy.DEFAULT, new ResponseLengths()),
                upstreams,
                new AllocatorRegions(DataCentreRegions.NONE)),
            (prefix, homes, previous) -> counts.add(homes));
  }

  private WaitingEntry entry(String prefix, boolean fromFirstAttempt) {
    PromptMetadata prompt =
        new PromptMetadata(
            "m", 6_000, 60, List.of(new PromptPart(prefix, 5_000), new PromptPart("own", 1_000)));
    WaitingCall call =
        new WaitingCall(
            new RequestId("r", 1, 1), "w", "", 1_000, 15_000, true, false, Optional.of(prompt));
    return new WaitingEntry("r", call, 1, 1, fromFirstAttempt, 0, nowNanos);
  }

  private List<Candidate> candidates() {
    return upstreams.all().stream().map(each -> new Candidate(each, 0, 100)).toList();
  }

  private UpstreamLoad choose(String prefix, List<Candidate> candidates) {
    return choice.choose(entry(prefix, true), candidates, nowNanos).upstream();
  }

  /** Guards against prefixes that are prefilled at the engine that is first among equals. */
  @Test
  public void prefixesHaveHomesOnAllEngines() {
    Set<UpstreamLoad> homes = new HashSet<>();
    for (int index = 0; index < 60; index++) {
      UpstreamLoad home = choose("p" + index, candidates());
      assertSame(choose("p" + index, candidates().reversed()), home);
      homes.add(home);
    }
    assertEquals(homes.size(), 6);
  }

  /** Guards against a request that waits for a home until it is late. */
  @Test
  public void requestGoesElsewhereWhenItsHomeCannotServeItInTime() {
    UpstreamLoad home = choose("p", candidates());
    List<Candidate> others = candidates().stream().filter(each -> each.upstream() != home).toList();
    assertNotSame(choose("p", others), home);
  }

  /** Guards against a prefix with a high load that overloads one engine, or never leaves many. */
  @Test
  public void prefixGetsHomesByItsLoadAndReleasesThem() {
    UpstreamLoad first = choose("hot", candidates());
    for (int request = 0; request < 300; request++) {
      nowNanos += SECOND / 50;
      choice.recordGranted(entry("hot", true), first, nowNanos);
    }
    List<Candidate> firstIsBusy =
        candidates().stream()
            .map(each -> each.upstream() == first ? new Candidate(first, 50, 150) : each)
            .toList();
    assertNotSame(choose("hot", firstIsBusy), first);
    assertTrue(counts.getLast() >= 3, counts.toString());
    nowNanos += 60 * SECOND;
    assertSame(choose("hot", firstIsBusy), first);
    assertEquals(counts.getLast(), 1);
  }

  /** Guards against an effect on requests whose objective counts from their arrival. */
  @Test
  public void otherAdmissionsChooseTheLowestScore() {
    for (int index = 0; index < 20; index++) {
      WaitingEntry entry = entry("p" + index, false);
      assertSame(
          choice.choose(entry, candidates(), nowNanos).upstream(),
          candidates().getFirst().upstream());
    }
  }
}
