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
import dev.agatepier.core.process.SidecarEvent.DrainBegun;
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
    SidecarFixture bench = SidecarFixture.model(2);
    assertEquals(bench.demand("quartet", 5, 10).sent(Grant.class).size(), 2);
    assertEquals(bench.demand("quartet", 4, 10).sent(Grant.class), List.of());
    bench.hear(new GrantDeclined(1));
    assertEquals(bench.decision.snapshot(0).granted(), 1);
    assertEquals(bench.after(60).sent(Grant.class).size(), 1, "asked again after the pause");
  }

  @Test
  public void numbersFramesAndSetsCostRight() {
    SidecarFixture bench = SidecarFixture.model(1).run("quartet", attempt(1));
    assertTrue(bench.did(StartUpstream.class));
    for (int number = 0; number < 3; number++) {
      bench.tell(new UpstreamResponseData(attempt(1), TOKEN, 1));
      assertEquals(bench.only(AttemptContent.class).frameNumber(), number);
    }
    assertEquals(bench.decision.snapshot(0).shares().getFirst().localCost(), 3.0);
    bench.tell(new UpstreamResponseCompleted(attempt(1), 40));
    assertEquals(bench.only(AttemptEnd.class), new AttemptEnd(attempt(1), 3, 40));
    assertEquals(bench.decision.snapshot(0).shares().getFirst().localCost(), 40.0);
  }

  @Test
  public void plainCostIsSlotTime() {
    SidecarFixture bench =
        new SidecarFixture(SidecarFixture.policy("virtual-service", 1), ServiceKind.PLAIN);
    bench.run("quartet", attempt(1)).after(30);
    assertEquals(
        bench.tell(new UpstreamResponseCompleted(attempt(1), 0)).only(AttemptEnd.class).cost(),
        30.0);
  }

  @Test
  public void refusesAnswerToGrantTakenBackForGood() {
    SidecarFixture bench = SidecarFixture.model(1);
    long number = bench.demand("quartet", 1, 0).only(Grant.class).grantNumber();
    bench.demand("quartet", 0, 0).after(1_000);
    assertEquals(bench.decision.snapshot(0).granted(), 0);
    bench.hear(start(number, attempt(1), "quartet"));
    assertEquals(bench.only(AttemptNotRun.class).reason(), Reason.NOT_READY);
    long second = bench.demand("quartet", 1, 0).only(Grant.class).grantNumber();
    bench.hear(start(second, attempt(1), "quartet"));
    assertFalse(bench.did(StartUpstream.class), "the attempt is marked never to run");
    bench.only(AttemptNotRun.class);
  }

  @Test
  public void runsDuplicateOnce() {
    SidecarFixture bench = SidecarFixture.model(2).run("quartet", attempt(1));
    bench.run("quartet", attempt(1));
    assertFalse(bench.did(StartUpstream.class));
    assertEquals(bench.sent(AttemptNotRun.class), List.of(), "it did run");
    assertEquals(bench.decision.snapshot(0).granted(), 0, "the second grant's slot is free");
  }

  @Test
  public void marksBeforeItAnswersWithdrawal() {
    SidecarFixture bench = SidecarFixture.model(1);
    bench.hear(new AttemptMessage.WithdrawAttempt(attempt(1)));
    assertEquals(bench.only(AttemptNotRun.class).reason(), Reason.WITHDRAWN);
    bench.run("quartet", attempt(1));
    assertFalse(bench.did(StartUpstream.class));
    bench.only(AttemptNotRun.class);
  }

  @Test
  public void saysNotRunOfNoAttemptThatItForgot() {
    SidecarFixture bench = SidecarFixture.model(1);
    for (long number = 1; number <= 8_193; number++) {
      bench.hear(new AttemptMessage.WithdrawAttempt(attempt(number)));
    }
    bench.hear(new AttemptMessage.WithdrawAttempt(attempt(1)));
    assertEquals(bench.sent(AttemptNotRun.class), List.of());
    bench.only(AttemptFailed.class);
  }

  @Test
  public void answersWithdrawalOfAttemptThatOutlivedItsLink() {
    SidecarFixture bench = SidecarFixture.model(1).run("quartet", attempt(1));
    bench.tell(new RouterDisconnected(SidecarFixture.ROUTER));
    bench.tell(new SidecarEvent.RouterConnected(SidecarFixture.ROUTER));
    bench.hear(new AttemptMessage.WithdrawAttempt(attempt(1))).only(AttemptFailed.class);
    bench.tell(new UpstreamFailed(attempt(1), true, Reason.UPSTREAM_FAILED));
    bench.hear(new AttemptMessage.WithdrawAttempt(attempt(1))).only(AttemptFailed.class);
  }

  @Test
  public void passesCreditOn() {
    SidecarFixture bench = SidecarFixture.model(1).run("quartet", attempt(1));
    bench.hear(new AttemptMessage.AttemptCredit(attempt(1), 70));
    assertEquals(bench.effects, List.of(new SidecarEffect.ReadUpstream(attempt(1), 70)));
  }

  @Test
  public void cancelsWithdrawnAttemptThatRuns() {
    SidecarFixture bench = SidecarFixture.model(1).run("quartet", attempt(1));
    bench.hear(new AttemptMessage.WithdrawAttempt(attempt(1)));
    assertTrue(bench.did(CancelUpstream.class));
    bench.tell(new UpstreamResponseData(attempt(1), TOKEN, 1));
    assertEquals(bench.sent(AttemptContent.class), List.of());
    bench.tell(new UpstreamFailed(attempt(1), true, Reason.UPSTREAM_FAILED));
    assertEquals(bench.only(AttemptFailed.class).reason(), Reason.WITHDRAWN);
  }

  @DataProvider
  public static Object[][] refusals() {
    return new Object[][] {
      {5_000L, new DrainBegun(), Reason.DRAINING},
      {5_000L, new InstancesActivated(LEAVING), Reason.DRAINING},
      {0L, new SidecarEvent.TimePassed(), Reason.DEADLINE},
      {5_000L, new UpstreamHealthChanged(false, false), Reason.NOT_READY},
    };
  }

  @Test(dataProvider = "refusals")
  public void refusesWhatItMayNotStart(long timeLeft, SidecarEvent before, Reason reason) {
    SidecarFixture bench = SidecarFixture.model(1);
    long number = bench.demand("quartet", 1, 0).only(Grant.class).grantNumber();
    bench.tell(before);
    bench.hear(start(number, attempt(1), "quartet", timeLeft, false, Optional.empty()));
    assertEquals(bench.only(AttemptNotRun.class).reason(), reason);
    assertFalse(bench.did(StartUpstream.class));
    bench.demand("quartet", 2, 0);
    assertEquals(bench.decision.snapshot(0).granted(), timeLeft > 0 ? 0 : 1);
  }

  @Test
  public void saysNotRunOnlyIfNothingWasSent() {
    SidecarFixture bench = SidecarFixture.model(2).run("quartet", attempt(1));
    bench.tell(new UpstreamFailed(attempt(1), false, Reason.NO_UPSTREAM)).only(AttemptNotRun.class);
    bench.run("quartet", attempt(2));
    bench.tell(new UpstreamFailed(attempt(2), true, Reason.UPSTREAM_FAILED));
    assertEquals(bench.sent(AttemptNotRun.class), List.of());
    bench.only(AttemptFailed.class);
  }

  @Test
  public void cancelsAttemptsOfRouterThatIsGone() {
    SidecarFixture bench = SidecarFixture.model(1).run("quartet", attempt(1));
    bench.tell(new RouterDisconnected(SidecarFixture.ROUTER));
    assertEquals(bench.effects, List.of(new CancelUpstream(attempt(1))));
  }

  @Test
  public void tellsOfFreeSlotsOnceAndAgainSlowly() {
    SidecarFixture bench = SidecarFixture.model(3);
    assertEquals(bench.only(FreeSlots.class).freeSlots(), 3);
    assertEquals(bench.after(500).sent(FreeSlots.class), List.of());
    assertEquals(bench.after(500).sent(FreeSlots.class).size(), 1);
  }

  @Test
  public void tellsWhichRequestsRanWhenItsUpstreamDied() {
    SidecarFixture bench = SidecarFixture.model(3);
    bench.run("quartet", attempt(1)).run("festival", attempt(2));
    bench.tell(new UpstreamFailed(attempt(1), true, Reason.UPSTREAM_FAILED));
    bench.tell(new UpstreamHealthChanged(false, true));
    assertEquals(bench.only(AttemptFailed.class).reason(), Reason.UPSTREAM_DIED);
    SuspicionReport report = bench.only(SuspicionReport.class);
    assertEquals(report.suspicions().size(), 2, "one answer broke before the death was noticed");
    assertFalse(report.suspicions().getFirst().exclusive());
    LinkMessage first = bench.sent(LinkMessage.class).getFirst();
    assertEquals(first, report, "a router must know of the death before it may try again");
    assertEquals(bench.demand("quartet", 1, 0).sent(Grant.class), List.of());
    bench.tell(new UpstreamHealthChanged(true, false)).only(Grant.class);
  }

  @Test
  public void runsSuspectWithNothingBeside() {
    SidecarFixture bench = SidecarFixture.model(3).run("quartet", attempt(1));
    long suspect = bench.demand("festival", 1, 0).only(Grant.class).grantNumber();
    long innocent = bench.demand("solo", 1, 0).only(Grant.class).grantNumber();
    bench.demand("festival", 0, 0);
    bench.hear(start(suspect, attempt(2), "festival", 5_000, true, Optional.empty()));
    assertFalse(bench.did(StartUpstream.class), "another attempt runs");
    bench.hear(start(innocent, attempt(3), "solo"));
    bench.only(AttemptNotRun.class);
    assertEquals(bench.demand("solo", 2, 0).sent(Grant.class), List.of());
    bench.tell(new UpstreamResponseCompleted(attempt(1), 1));
    assertTrue(bench.did(StartUpstream.class));
    assertEquals(bench.sent(Grant.class), List.of());
    bench.tell(new UpstreamHealthChanged(true, true));
    assertTrue(bench.only(SuspicionReport.class).suspicions().getFirst().exclusive());
    assertEquals(bench.sent(Grant.class).size(), 2);
  }

  @Test
  public void offersMoreSlotsWhileTokensComeFast() {
    SidecarPolicy policy =
        new SidecarPolicy("virtual-service", 1, 4, 31, 1_000, 250, 100_000, 600_000, 1_000);
    SidecarFixture bench = new SidecarFixture(policy, ServiceKind.MODEL).run("quartet", attempt(1));
    for (int token = 0; token <= 100; token++) {
      bench.nowMillis += 20;
      bench.tell(new UpstreamResponseData(attempt(1), TOKEN, 1));
    }
    assertEquals(bench.decision.snapshot(0).slots(), 2);
  }

  @Test
  public void drainsWhenNothingIsLeft() {
    SidecarFixture bench = SidecarFixture.model(2).run("quartet", attempt(1));
    assertFalse(bench.tell(new DrainBegun()).did(Drained.class));
    assertEquals(bench.demand("quartet", 3, 0).sent(Grant.class), List.of());
    assertTrue(bench.tell(new UpstreamResponseCompleted(attempt(1), 1)).did(Drained.class));
    assertFalse(bench.after(1_000).did(Drained.class), "told once");
  }

  @Test
  public void servesLeastVirtualServiceFirst() {
    SidecarFixture bench = SidecarFixture.model(1);
    bench.run("festival", attempt(1)).demand("festival", 5, 9_000).demand("quartet", 1, 0);
    AttemptId first = attempt(1);
    assertEquals(
        bench.tell(new UpstreamResponseCompleted(first, 500)).only(Grant.class).workspace(),
        "quartet");
  }
}
