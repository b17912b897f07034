package dev.agatepier.core.process;

import static dev.agatepier.core.process.SidecarFixture.attempt;
import static dev.agatepier.core.process.SidecarFixture.start;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import dev.agatepier.core.connection.AttemptMessage;
import dev.agatepier.core.connection.AttemptMessage.AttemptContent;
import dev.agatepier.core.connection.AttemptMessage.AttemptEnd;
import dev.agatepier.core.connection.AttemptMessage.AttemptFailed;
import dev.agatepier.core.connection.AttemptMessage.AttemptNotRun;
import dev.agatepier.core.connection.LinkMessage;
import dev.agatepier.core.connection.LinkMessage.FreeSlots;
import dev.agatepier.core.connection.LinkMessage.Grant;
import dev.agatepier.core.connection.LinkMessage.GrantDeclined;
import dev.agatepier.core.connection.LinkMessage.SuspicionReport;
import dev.agatepier.core.connection.Role;
import dev.agatepier.core.process.SidecarEffect.CancelUpstream;
import dev.agatepier.core.process.SidecarEffect.Drained;
import dev.agatepier.core.process.SidecarEffect.StartUpstream;
import dev.agatepier.core.process.SidecarEvent.DrainStarted;
import dev.agatepier.core.process.SidecarEvent.InstancesActivated;
import dev.agatepier.core.process.SidecarEvent.RouterDisconnected;
import dev.agatepier.core.process.SidecarEvent.UpstreamFailed;
import dev.agatepier.core.process.SidecarEvent.UpstreamHealthChanged;
import dev.agatepier.core.process.SidecarEvent.UpstreamResponseCompleted;
import dev.agatepier.core.process.SidecarEvent.UpstreamResponseData;
import dev.agatepier.core.request.AttemptId;
import dev.agatepier.core.request.Bytes;
import dev.agatepier.core.request.Reason;
import dev.agatepier.core.version.Instance;
import dev.agatepier.core.version.InstanceList;
import dev.agatepier.core.version.ServiceKind;
import java.util.List;
import java.util.Optional;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class SidecarDecisionTest {
  private static final Bytes TOKEN = Bytes.ofText("token");
  private static final InstanceList LEAVING =
      new InstanceList(
          1, List.of(new Instance("engine-1", Role.SIDECAR, "", 1, 2, "", "", "", true)));

  @Test
  public void grantsNoMoreThanItsSlots() {
    SidecarFixture sidecar = SidecarFixture.model(2);
    assertEquals(sidecar.demand("quartet", 5, 10).sent(Grant.class).size(), 2);
    assertEquals(sidecar.demand("quartet", 4, 10).sent(Grant.class), List.of());
    sidecar.receive(new GrantDeclined(1));
    assertEquals(sidecar.decision.snapshot(0).granted(), 1);
    assertEquals(sidecar.advance(60).sent(Grant.class).size(), 1, "granted again after the pause");
  }

  @Test
  public void numbersFramesAndCorrectsCostAtTheEnd() {
    SidecarFixture sidecar = SidecarFixture.model(1).run("quartet", attempt(1));
    assertTrue(sidecar.hasEffect(StartUpstream.class));
    for (int number = 0; number < 3; number++) {
      sidecar.dispatch(new UpstreamResponseData(attempt(1), TOKEN, 1));
      assertEquals(sidecar.onlyMessage(AttemptContent.class).frameNumber(), number);
    }
    assertEquals(sidecar.decision.snapshot(0).shares().getFirst().localCost(), 3.0);
    sidecar.dispatch(new UpstreamResponseCompleted(attempt(1), 40));
    assertEquals(sidecar.onlyMessage(AttemptEnd.class), new AttemptEnd(attempt(1), 3, 40));
    assertEquals(sidecar.decision.snapshot(0).shares().getFirst().localCost(), 40.0);
  }

  @Test
  public void plainCostIsSlotTime() {
    SidecarFixture sidecar =
        new SidecarFixture(SidecarFixture.policy("virtual-service", 1), ServiceKind.PLAIN);
    sidecar.run("quartet", attempt(1)).advance(30);
    assertEquals(
        sidecar
            .dispatch(new UpstreamResponseCompleted(attempt(1), 0))
            .onlyMessage(AttemptEnd.class)
            .cost(),
        30.0);
  }

  @Test
  public void rejectsAttemptUnderExpiredGrantPermanently() {
    SidecarFixture sidecar = SidecarFixture.model(1);
    long number = sidecar.demand("quartet", 1, 0).onlyMessage(Grant.class).grantNumber();
    sidecar.demand("quartet", 0, 0).advance(1_000);
    assertEquals(sidecar.decision.snapshot(0).granted(), 0);
    sidecar.receive(start(number, attempt(1), "quartet"));
    assertEquals(sidecar.onlyMessage(AttemptNotRun.class).reason(), Reason.NOT_READY);
    long second = sidecar.demand("quartet", 1, 0).onlyMessage(Grant.class).grantNumber();
    sidecar.receive(start(second, attempt(1), "quartet"));
    assertFalse(sidecar.hasEffect(StartUpstream.class), "the attempt must never run");
    sidecar.onlyMessage(AttemptNotRun.class);
  }

  @Test
  public void runsDuplicateOnce() {
    SidecarFixture sidecar = SidecarFixture.model(2).run("quartet", attempt(1));
    sidecar.run("quartet", attempt(1));
    assertFalse(sidecar.hasEffect(StartUpstream.class));
    assertEquals(sidecar.sent(AttemptNotRun.class), List.of(), "the attempt has run");
    assertEquals(sidecar.decision.snapshot(0).granted(), 0, "the second grant's slot is free");
  }

  @Test
  public void neverStartsWithdrawnAttempt() {
    SidecarFixture sidecar = SidecarFixture.model(1);
    sidecar.receive(new AttemptMessage.WithdrawAttempt(attempt(1)));
    assertEquals(sidecar.onlyMessage(AttemptNotRun.class).reason(), Reason.WITHDRAWN);
    sidecar.run("quartet", attempt(1));
    assertFalse(sidecar.hasEffect(StartUpstream.class));
    sidecar.onlyMessage(AttemptNotRun.class);
  }

  @Test
  public void doesNotReportNotRunForForgottenAttempt() {
    SidecarFixture sidecar = SidecarFixture.model(1);
    for (long number = 1; number <= 8_193; number++) {
      sidecar.receive(new AttemptMessage.WithdrawAttempt(attempt(number)));
    }
    sidecar.receive(new AttemptMessage.WithdrawAttempt(attempt(1)));
    assertEquals(sidecar.sent(AttemptNotRun.class), List.of());
    sidecar.onlyMessage(AttemptFailed.class);
  }

  @Test
  public void repliesToWithdrawalOfAttemptFromEarlierLink() {
    SidecarFixture sidecar = SidecarFixture.model(1).run("quartet", attempt(1));
    sidecar.dispatch(new RouterDisconnected(SidecarFixture.ROUTER));
    sidecar.dispatch(new SidecarEvent.RouterConnected(SidecarFixture.ROUTER));
    sidecar
        .receive(new AttemptMessage.WithdrawAttempt(attempt(1)))
        .onlyMessage(AttemptFailed.class);
    sidecar.dispatch(new UpstreamFailed(attempt(1), true, Reason.UPSTREAM_FAILED));
    sidecar
        .receive(new AttemptMessage.WithdrawAttempt(attempt(1)))
        .onlyMessage(AttemptFailed.class);
  }

  @Test
  public void forwardsCreditToTheUpstream() {
    SidecarFixture sidecar = SidecarFixture.model(1).run("quartet", attempt(1));
    sidecar.receive(new AttemptMessage.AttemptCredit(attempt(1), 70));
    assertEquals(sidecar.effects, List.of(new SidecarEffect.ReadUpstream(attempt(1), 70)));
  }

  @Test
  public void cancelsWithdrawnAttemptThatRuns() {
    SidecarFixture sidecar = SidecarFixture.model(1).run("quartet", attempt(1));
    sidecar.receive(new AttemptMessage.WithdrawAttempt(attempt(1)));
    assertTrue(sidecar.hasEffect(CancelUpstream.class));
    sidecar.dispatch(new UpstreamResponseData(attempt(1), TOKEN, 1));
    assertEquals(sidecar.sent(AttemptContent.class), List.of());
    sidecar.dispatch(new UpstreamFailed(attempt(1), true, Reason.UPSTREAM_FAILED));
    assertEquals(sidecar.onlyMessage(AttemptFailed.class).reason(), Reason.WITHDRAWN);
  }

  @DataProvider
  public static Object[][] refusals() {
    return new Object[][] {
      {5_000L, new DrainStarted(), Reason.DRAINING},
      {5_000L, new InstancesActivated(LEAVING), Reason.DRAINING},
      {0L, new SidecarEvent.Tick(), Reason.DEADLINE},
      {5_000L, new UpstreamHealthChanged(false, false), Reason.NOT_READY},
    };
  }

  @Test(dataProvider = "refusals")
  public void rejectsAttemptsThatItMayNotStart(long timeLeft, SidecarEvent event, Reason reason) {
    SidecarFixture sidecar = SidecarFixture.model(1);
    long number = sidecar.demand("quartet", 1, 0).onlyMessage(Grant.class).grantNumber();
    sidecar.dispatch(event);
    sidecar.receive(start(number, attempt(1), "quartet", timeLeft, false, Optional.empty()));
    assertEquals(sidecar.onlyMessage(AttemptNotRun.class).reason(), reason);
    assertFalse(sidecar.hasEffect(StartUpstream.class));
    sidecar.demand("quartet", 2, 0);
    assertEquals(sidecar.decision.snapshot(0).granted(), timeLeft > 0 ? 0 : 1);
  }

  @Test
  public void reportsNotRunOnlyIfNothingWasSent() {
    SidecarFixture sidecar = SidecarFixture.model(2).run("quartet", attempt(1));
    sidecar
        .dispatch(new UpstreamFailed(attempt(1), false, Reason.NO_UPSTREAM))
        .onlyMessage(AttemptNotRun.class);
    sidecar.run("quartet", attempt(2));
    sidecar.dispatch(new UpstreamFailed(attempt(2), true, Reason.UPSTREAM_FAILED));
    assertEquals(sidecar.sent(AttemptNotRun.class), List.of());
    sidecar.onlyMessage(AttemptFailed.class);
  }

  @Test
  public void cancelsAttemptsOfDisconnectedRouter() {
    SidecarFixture sidecar = SidecarFixture.model(1).run("quartet", attempt(1));
    sidecar.dispatch(new RouterDisconnected(SidecarFixture.ROUTER));
    assertEquals(sidecar.effects, List.of(new CancelUpstream(attempt(1))));
  }

  @Test
  public void reportsFreeSlotsOnceAndThenAtIntervals() {
    SidecarFixture sidecar = SidecarFixture.model(3);
    assertEquals(sidecar.onlyMessage(FreeSlots.class).freeSlots(), 3);
    assertEquals(sidecar.advance(500).sent(FreeSlots.class), List.of());
    assertEquals(sidecar.advance(500).sent(FreeSlots.class).size(), 1);
  }

  @Test
  public void reportsRequestsThatRanWhenTheUpstreamCrashed() {
    SidecarFixture sidecar = SidecarFixture.model(3);
    sidecar.run("quartet", attempt(1)).run("festival", attempt(2));
    sidecar.dispatch(new UpstreamFailed(attempt(1), true, Reason.UPSTREAM_FAILED));
    sidecar.dispatch(new UpstreamHealthChanged(false, true));
    assertEquals(sidecar.onlyMessage(AttemptFailed.class).reason(), Reason.UPSTREAM_DIED);
    SuspicionReport report = sidecar.onlyMessage(SuspicionReport.class);
    assertEquals(
        report.suspicions().size(), 2, "one response failed before the crash was detected");
    assertFalse(report.suspicions().getFirst().exclusive());
    LinkMessage first = sidecar.sent(LinkMessage.class).getFirst();
    assertEquals(first, report, "a router must know of the crash before it may retry");
    assertEquals(sidecar.demand("quartet", 1, 0).sent(Grant.class), List.of());
    sidecar.dispatch(new UpstreamHealthChanged(true, false)).onlyMessage(Grant.class);
  }

  @Test
  public void runsSuspectExclusively() {
    SidecarFixture sidecar = SidecarFixture.model(3).run("quartet", attempt(1));
    long suspect = sidecar.demand("festival", 1, 0).onlyMessage(Grant.class).grantNumber();
    long innocent = sidecar.demand("solo", 1, 0).onlyMessage(Grant.class).grantNumber();
    sidecar.demand("festival", 0, 0);
    sidecar.receive(start(suspect, attempt(2), "festival", 5_000, true, Optional.empty()));
    assertFalse(sidecar.hasEffect(StartUpstream.class), "another attempt is running");
    sidecar.receive(start(innocent, attempt(3), "solo"));
    sidecar.onlyMessage(AttemptNotRun.class);
    assertEquals(sidecar.demand("solo", 2, 0).sent(Grant.class), List.of());
    sidecar.dispatch(new UpstreamResponseCompleted(attempt(1), 1));
    assertTrue(sidecar.hasEffect(StartUpstream.class));
    assertEquals(sidecar.sent(Grant.class), List.of());
    sidecar.dispatch(new UpstreamHealthChanged(true, true));
    assertTrue(sidecar.onlyMessage(SuspicionReport.class).suspicions().getFirst().exclusive());
    assertEquals(sidecar.sent(Grant.class).size(), 2);
  }

  @Test
  public void addsSlotsWhileTokenGapsAreShort() {
    SidecarPolicy policy =
        new SidecarPolicy("virtual-service", 1, 4, 31, 1_000, 250, 100_000, 600_000, 1_000);
    SidecarFixture sidecar =
        new SidecarFixture(policy, ServiceKind.MODEL).run("quartet", attempt(1));
    for (int token = 0; token <= 100; token++) {
      sidecar.nowMillis += 20;
      sidecar.dispatch(new UpstreamResponseData(attempt(1), TOKEN, 1));
    }
    assertEquals(sidecar.decision.snapshot(0).slots(), 2);
  }

  @Test
  public void reportsDrainedAfterTheLastAttempt() {
    SidecarFixture sidecar = SidecarFixture.model(2).run("quartet", attempt(1));
    assertFalse(sidecar.dispatch(new DrainStarted()).hasEffect(Drained.class));
    assertEquals(sidecar.demand("quartet", 3, 0).sent(Grant.class), List.of());
    assertTrue(
        sidecar.dispatch(new UpstreamResponseCompleted(attempt(1), 1)).hasEffect(Drained.class));
    assertFalse(sidecar.advance(1_000).hasEffect(Drained.class), "reported once");
  }

  @Test
  public void servesLeastVirtualServiceFirst() {
    SidecarFixture sidecar = SidecarFixture.model(1);
    sidecar.run("festival", attempt(1)).demand("festival", 5, 9_000).demand("quartet", 1, 0);
    AttemptId first = attempt(1);
    assertEquals(
        sidecar
            .dispatch(new UpstreamResponseCompleted(first, 500))
            .onlyMessage(Grant.class)
            .workspace(),
        "quartet");
  }
}
