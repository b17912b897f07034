package dev.agatepier.core.process.internal;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import dev.agatepier.core.process.RouterDecision;
import dev.agatepier.core.process.RouterEffect;
import dev.agatepier.core.process.RouterEffect.FailRequest;
import dev.agatepier.core.process.RouterEvent;
import dev.agatepier.core.process.RouterEvent.CallArrived;
import dev.agatepier.core.process.RouterFixture;
import dev.agatepier.core.process.RouterPolicy;
import dev.agatepier.core.request.Bytes;
import dev.agatepier.core.request.CallHead;
import dev.agatepier.core.request.Fingerprint;
import dev.agatepier.core.request.RequestId;
import dev.agatepier.core.request.Ticket;
import dev.agatepier.core.version.Limits;
import java.util.List;
import java.util.Optional;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class AdmissionTest {

  private static final Limits UNRESTRICTIVE = new Limits(1_000, 1_000, 0);
  private static final String SERVICE = RouterFixture.SERVICE;
  private static final long MILLI = RouterFixture.MILLI;

  @DataProvider
  public Object[][] refusals() {
    Ticket other = RouterFixture.ticket("v", "s1", 1);
    Ticket own = RouterFixture.ticket("w", "s1", 1);
    return new Object[][] {
      // workspace, service, ticket, milliseconds left, draining, refusal
      {"nobody", SERVICE, null, 1L, false, "not-run key-wrong"},
      {"w", "nothing", null, 1L, false, "not-run service-unknown"},
      {"w", "closed", null, 1L, false, "not-run service-not-allowed"},
      {"w", SERVICE, other, 1L, false, "not-run ticket-invalid"},
      {"w", SERVICE, null, 0L, false, "not-run deadline"},
      {"w", SERVICE, null, 1L, true, "not-run draining"},
      {"w", SERVICE, own, 1L, true, "unknown draining"},
    };
  }

  @Test(dataProvider = "refusals")
  public void refusesCallsThatMayNotRun(
      String workspace, String service, Ticket ticket, long left, boolean drain, String refusal) {
    RouterFixture fixture = new RouterFixture();
    if (drain) {
      fixture.dispatch(new RouterEvent.DrainStarted());
    }
    fixture.dispatch(
        call(workspace, service, Optional.ofNullable(ticket), fixture.now + left * MILLI));
    assertEquals(fixture.outcomes(), List.of(refusal));
  }

  @Test
  public void refusesWithoutTable() {
    RouterDecision decision = new RouterDecision(RouterFixture.router("r1"), RouterPolicy.DEFAULT);
    RouterEffect effect = decision.decide(call("w", SERVICE, Optional.empty(), MILLI), 0).get(0);
    assertEquals(((FailRequest) effect).reason().code(), "not-ready");
  }

  @Test
  public void floodOfOneWorkspaceDoesNotAffectAnother() {
    RouterFixture fixture = new RouterFixture(RouterPolicy.DEFAULT, new Limits(10, 5, 0), 0);
    fixture.link("s1", 1, "a1");
    for (int call = 0; call < 1_000; call++) {
      fixture.call("v", "POST", "body", Optional.empty());
    }
    assertEquals(fixture.outcomes().size(), 990);
    assertEquals(fixture.outcomes().get(0), "not-run limit-waiting");
    fixture.call("w", "POST", "body", Optional.empty());
    fixture.run("grant s1; head; end 0");
    assertEquals(fixture.outcomes().get(990), "completed");
  }

  @Test
  public void refusesCallsThatCannotMeetTheirDeadlineAndAdvisesWhenToRetry() {
    RouterFixture fixture = new RouterFixture(RouterPolicy.DEFAULT, UNRESTRICTIVE, 0);
    fixture.link("s1", 1, "a1");
    for (int call = 0; call < 20; call++) {
      fixture.call("w", "POST", "body", Optional.empty());
    }
    for (int departure = 0; departure < 9; departure++) {
      fixture.run("wait 1000; grant s1; head; end 0");
    }
    // 11 requests wait, one completes per second, and the deadline of a call is 10 s.
    fixture.call("w", "POST", "body", Optional.empty());
    FailRequest refused = (FailRequest) fixture.effects.getLast();
    assertEquals(refused.reason().code(), "overloaded");
    assertEquals(refused.retryAfterMillis(), 1_000);
    fixture.call("v", "POST", "body", Optional.empty());
    assertEquals(fixture.decision.snapshot(fixture.now).queues().size(), 2);
  }

  @Test
  public void correctsTheEstimatedCostAtTheEnd() {
    RouterFixture fixture = new RouterFixture(RouterPolicy.DEFAULT, new Limits(10, 9, 6), 0);
    fixture.link("s1", 1, "a1");
    for (int call = 0; call < 3; call++) {
      fixture.call("w", "POST", "body", Optional.empty());
      fixture.run("grant s1; head; end 0");
    }
    // Each call cost 3 of the 6 allowed per minute, so the third must wait for half a minute.
    assertEquals(fixture.outcomes().get(2), "not-run limit-cost");
    fixture.run("wait 31000");
    fixture.call("w", "POST", "body", Optional.empty());
    assertEquals(fixture.decision.snapshot(fixture.now).queues().size(), 1);
  }

  @Test
  public void drainsOnceAfterTheLastRequest() {
    RouterFixture fixture = new RouterFixture();
    fixture.link("s1", 1, "a1");
    fixture.call("w", "POST", "body", Optional.empty());
    fixture.dispatch(new RouterEvent.DrainStarted());
    assertTrue(!fixture.effects.contains(new RouterEffect.Drained()));
    fixture.run("grant s1; head; end 0; wait 100");
    assertEquals(fixture.outcomes(), List.of("completed"));
    assertEquals(
        fixture.effects.stream().filter(RouterEffect.Drained.class::isInstance).count(), 1);
  }

  private static CallArrived call(
      String workspace, String service, Optional<Ticket> ticket, long deadline) {
    return new CallArrived(
        new RequestId("r1", 1, 1),
        workspace,
        service,
        new CallHead("POST", "/", List.of()),
        Bytes.EMPTY,
        new Fingerprint(workspace, service, ""),
        ticket,
        deadline);
  }
}
