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
import dev.agatepier.core.connection.AttemptMessage.AttemptHead;
import dev.agatepier.core.connection.AttemptMessage.AttemptNotRun;
import dev.agatepier.core.connection.LinkMessage.Grant;
import dev.agatepier.core.process.SidecarEffect.CancelUpstream;
import dev.agatepier.core.process.SidecarEffect.StartUpstream;
import dev.agatepier.core.process.SidecarEvent.UpstreamFailed;
import dev.agatepier.core.process.SidecarEvent.UpstreamResponseCompleted;
import dev.agatepier.core.process.SidecarEvent.UpstreamResponseData;
import dev.agatepier.core.process.SidecarEvent.UpstreamResponseStarted;
import dev.agatepier.core.request.AttemptId;
import dev.agatepier.core.request.Bytes;
import dev.agatepier.core.request.Reason;
import dev.agatepier.core.request.RequestId;
import dev.agatepier.core.request.ResponseHead;
import dev.agatepier.core.request.Ticket;
import java.util.List;
import java.util.Optional;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class SidecarTicketsTest {
  private static final ResponseHead HEAD = new ResponseHead(200, List.of());
  private static final Ticket GOOD = ticket("quartet", "engine-1", 7, 1_000);
  private static final long FRAME_BYTES = 60;

  private static Ticket ticket(String workspace, String sidecar, long incarnation, long issued) {
    RequestId request = new RequestId("router-1", 1, 999);
    return new Ticket(workspace, "plan-model", sidecar, incarnation, issued, request);
  }

  private static SidecarFixture send(SidecarFixture bench, AttemptId attempt, Ticket ticket) {
    long grant = bench.demand("quartet", 1, 0).only(Grant.class).grantNumber();
    bench.demand("quartet", 0, 0);
    return bench.hear(start(grant, attempt, "quartet", 5_000, false, Optional.of(ticket)));
  }

  private static SidecarFixture completed(int frames) {
    SidecarFixture bench = send(SidecarFixture.model(2), attempt(1), GOOD);
    assertTrue(bench.did(StartUpstream.class));
    bench.tell(new UpstreamResponseStarted(attempt(1), HEAD));
    for (int frame = 0; frame < frames; frame++) {
      bench.tell(new UpstreamResponseData(attempt(1), new Bytes(new byte[(int) FRAME_BYTES]), 1));
    }
    return bench.tell(new UpstreamResponseCompleted(attempt(1), 0));
  }

  @DataProvider
  public static Object[][] badTickets() {
    return new Object[][] {
      {ticket("quartet", "engine-1", 6, 1_000), Reason.TICKET_HOME_GONE},
      {ticket("quartet", "engine-2", 7, 1_000), Reason.TICKET_HOME_GONE},
      {ticket("festival", "engine-1", 7, 1_000), Reason.TICKET_INVALID},
      {ticket("quartet", "engine-1", 7, 700_001), Reason.TICKET_INVALID},
      {ticket("quartet", "engine-1", 7, 99_999), Reason.TICKET_EXPIRED},
    };
  }

  @Test(dataProvider = "badTickets")
  public void failsBadTicketWithoutSayingNotRun(Ticket ticket, Reason reason) {
    SidecarFixture bench = SidecarFixture.model(1);
    bench.nowMillis = 700_000;
    send(bench, attempt(1), ticket);
    assertEquals(bench.only(AttemptFailed.class).reason(), reason);
    assertEquals(bench.sent(AttemptNotRun.class), List.of());
    assertFalse(bench.did(StartUpstream.class));
    assertEquals(bench.decision.snapshot(0).granted(), 0);
  }

  @Test
  public void answersResendWithSameAnswerWithinWindow() {
    SidecarFixture bench = send(completed(4), attempt(2), GOOD);
    assertFalse(bench.did(StartUpstream.class));
    assertEquals(bench.only(AttemptHead.class).head(), HEAD);
    assertEquals(bench.sent(AttemptContent.class).size(), 2, "the window holds two frames");
    bench.hear(new AttemptMessage.AttemptCredit(attempt(2), 2 * FRAME_BYTES));
    assertEquals(
        bench.sent(AttemptContent.class).stream().map(AttemptContent::frameNumber).toList(),
        List.of(2, 3));
    assertEquals(bench.only(AttemptEnd.class), new AttemptEnd(attempt(2), 4, 0));
  }

  @Test
  public void saysThatLargeAnswerIsForgotten() {
    SidecarFixture bench = send(completed(20), attempt(2), GOOD);
    assertEquals(bench.only(AttemptFailed.class).reason(), Reason.TICKET_ANSWER_FORGOTTEN);
  }

  @Test
  public void refusesResendWhileRunningAndAfterFailure() {
    SidecarFixture bench = send(SidecarFixture.model(2), attempt(1), GOOD);
    send(bench, attempt(2), GOOD);
    assertEquals(bench.only(AttemptFailed.class).reason(), Reason.TICKET_IN_PROGRESS);
    bench.tell(new UpstreamFailed(attempt(1), true, Reason.UPSTREAM_FAILED));
    send(bench, attempt(3), GOOD);
    assertEquals(bench.only(AttemptFailed.class).reason(), Reason.UPSTREAM_FAILED);
    assertFalse(bench.did(StartUpstream.class));
  }

  @Test
  public void runsResendIfFirstTryIsProvenNotRun() {
    SidecarFixture bench = send(SidecarFixture.model(2), attempt(1), GOOD);
    bench.tell(new UpstreamFailed(attempt(1), false, Reason.NO_UPSTREAM)).only(AttemptNotRun.class);
    assertTrue(send(bench, attempt(2), GOOD).did(StartUpstream.class));
  }

  @DataProvider
  public static Object[][] callersGone() {
    return new Object[][] {
      {new SidecarEvent.RouterDisconnected(SidecarFixture.ROUTER)},
      {
        new SidecarEvent.MessageArrived(
            SidecarFixture.ROUTER, new AttemptMessage.WithdrawAttempt(attempt(1)))
      },
    };
  }

  @Test(dataProvider = "callersGone")
  public void goesOnWithoutCallerAndRemembersTheAnswer(SidecarEvent gone) {
    SidecarFixture bench = send(SidecarFixture.model(2), attempt(1), GOOD).tell(gone);
    assertFalse(bench.did(CancelUpstream.class));
    bench.tell(new UpstreamResponseStarted(attempt(1), HEAD));
    bench.tell(new UpstreamResponseData(attempt(1), Bytes.ofText("whole"), 1));
    assertTrue(bench.did(SidecarEffect.ReadUpstream.class), "nobody else gives credit");
    bench.tell(new UpstreamResponseCompleted(attempt(1), 0));
    bench.tell(new SidecarEvent.RouterConnected(SidecarFixture.ROUTER));
    send(bench, attempt(2), GOOD);
    assertEquals(bench.only(AttemptContent.class).content(), Bytes.ofText("whole"));
  }
}
