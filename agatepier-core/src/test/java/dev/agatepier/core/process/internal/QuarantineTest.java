package dev.agatepier.core.process.internal;

import static org.testng.Assert.assertEquals;

import dev.agatepier.core.connection.AttemptMessage.StartAttempt;
import dev.agatepier.core.connection.LinkMessage.Suspicion;
import dev.agatepier.core.connection.LinkMessage.SuspicionReport;
import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.process.RouterEvent;
import dev.agatepier.core.process.RouterFixture;
import dev.agatepier.core.process.RouterPolicy;
import dev.agatepier.core.request.Fingerprint;
import dev.agatepier.core.version.Limits;
import java.util.List;
import java.util.Optional;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class QuarantineTest {

  private final PeerIdentity other = RouterFixture.router("r2");
  private final PeerIdentity third = RouterFixture.router("r3");
  private RouterFixture fixture;

  @BeforeMethod
  public void link() {
    fixture = new RouterFixture();
    fixture.run("link s1/1; link s2/1");
    fixture.dispatch(new RouterEvent.PeerConnected(other));
  }

  @Test
  public void runsSuspectsExclusivelyAndOneByOne() {
    deaths(other, 1);
    call(3);
    fixture.run("grant s1; grant s2; grant s2");
    assertEquals(starts("s1"), List.of(true));
    assertEquals(starts("s2"), List.of(), "a second suspect must not run concurrently");
    fixture.run("head; end 0; grant s1; grant s2");
    assertEquals(starts("s1"), List.of(true, false), "a complete response clears the suspect");
    assertEquals(starts("s2"), List.of(false));
  }

  @Test
  public void releasesTheNextSuspectWhenOneFails() {
    deaths(other, 1);
    call(2);
    fixture.run("grant s1; grant s2; failed upstream-failed; grant s2");
    assertEquals(starts("s2"), List.of(true));
  }

  @Test
  public void refusesUntilTheQuarantineEnds() {
    deaths(other, 3);
    call(1);
    assertEquals(fixture.outcomes(), List.of("not-run quarantined"));
    fixture.advance(600_000);
    call(1);
    deaths(other, 3);
    call(1);
    fixture.run("grant s1; head; end 0; grant s2; head; end 0");
    assertEquals(
        fixture.outcomes(),
        List.of("not-run quarantined", "completed", "completed"),
        "an old report must not count");
  }

  @Test
  public void neverRetriesBeyondTheDeathLimit() {
    RouterPolicy manyAttempts =
        new RouterPolicy(16, 500, 50, 9, 3, 600_000, 1, 1, 10_000, 50, 80, 0.1);
    fixture = new RouterFixture(manyAttempts, new Limits(9, 9, 0), 1);
    fixture.run("link s1/1; link s2/1");
    fixture.call("w", "GET", "crash", Optional.empty());
    for (int death = 1; death <= 3; death++) {
      fixture.run("wait 200; grant s1");
      suspicion(fixture.linked.get("s1"), "crash", death);
      fixture.run("failed upstream-died");
    }
    fixture.run("wait 200; grant s1");
    assertEquals(starts("s1"), List.of(false, true, true));
    fixture.call("w", "GET", "crash", Optional.empty());
    assertEquals(fixture.outcomes(), List.of("unknown quarantined", "not-run quarantined"));
  }

  @Test
  public void forwardsNewReportsOnceAndSendsThemToRoutersThatLink() {
    deaths(other, 2);
    deaths(third, 2);
    fixture.dispatch(new RouterEvent.PeerConnected(third));
    deaths(third, 2);
    deaths(third, 3);
    assertEquals(
        deathsSent("r2"), List.of(3L), "the first two must not be sent back to their sender");
    assertEquals(
        deathsSent("r3"), List.of(1L, 2L), "the third must not be sent back to its sender");
  }

  private List<Long> deathsSent(String router) {
    return fixture.sent(router, SuspicionReport.class).stream()
        .flatMap(report -> report.suspicions().stream())
        .map(Suspicion::crashNumber)
        .toList();
  }

  private void call(int times) {
    for (int call = 0; call < times; call++) {
      fixture.call("w", "POST", "body", Optional.empty());
    }
  }

  private void deaths(PeerIdentity from, int count) {
    for (int death = 1; death <= count; death++) {
      suspicion(from, "body", death);
    }
  }

  private void suspicion(PeerIdentity from, String body, int death) {
    Fingerprint fingerprint = new Fingerprint("w", RouterFixture.SERVICE, body);
    fixture.message(
        from, new SuspicionReport(List.of(new Suspicion(fingerprint, "s1", 1, death, false))));
  }

  private List<Boolean> starts(String sidecar) {
    return fixture.sent(sidecar, StartAttempt.class).stream().map(StartAttempt::exclusive).toList();
  }
}
