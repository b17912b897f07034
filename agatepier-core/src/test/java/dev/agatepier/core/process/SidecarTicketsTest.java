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

  private static SidecarFixture send(SidecarFixture sidecar, AttemptId attempt, Ticket ticket) {
    long grant = sidecar.demand("quartet", 1, 0).onlyMessage(Grant.class).grantNumber();
    sidecar.demand("quartet", 0, 0);
    return sidecar.receive(start(grant, attempt, "quartet", 5_000, false, Optional.of(ticket)));
  }

  private static SidecarFixture completed(int frames) {
    SidecarFixture sidecar = send(SidecarFixture.model(2), attempt(1), GOOD);
    assertTrue(sidecar.hasEffect(StartUpstream.class));
    sidecar.dispatch(new UpstreamResponseStarted(attempt(1), HEAD));
    for (int frame = 0; frame < frames; frame++) {
      sidecar.dispatch(
          new UpstreamResponseData(attempt(1), new Bytes(new byte[(int) FRAME_BYTES]), 1));
    }
    return sidecar.dispatch(new UpstreamResponseCompleted(attempt(1), 0));
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
  public void failsInvalidTicketWithoutReportingNotRun(Ticket ticket, Reason reason) {
    SidecarFixture sidecar = SidecarFixture.model(1);
    sidecar.nowMillis = 700_000;
    send(sidecar, attempt(1), ticket);
    assertEquals(sidecar.onlyMessage(AttemptFailed.class).reason(), reason);
    assertEquals(sidecar.sent(AttemptNotRun.class), List.of());
    assertFalse(sidecar.hasEffect(StartUpstream.class));
    assertEquals(sidecar.decision.snapshot(0).granted(), 0);
  }

  @Test
  public void replaysResponseToResendWithinWindow() {
    SidecarFixture sidecar = send(completed(4), attempt(2), GOOD);
    assertFalse(sidecar.hasEffect(StartUpstream.class));
    assertEquals(sidecar.onlyMessage(AttemptHead.class).head(), HEAD);
    assertEquals(sidecar.sent(AttemptContent.class).size(), 2, "the window holds two frames");
    sidecar.receive(new AttemptMessage.AttemptCredit(attempt(2), 2 * FRAME_BYTES));
    assertEquals(
        sidecar.sent(AttemptContent.class).stream().map(AttemptContent::frameNumber).toList(),
        List.of(2, 3));
    assertEquals(sidecar.onlyMessage(AttemptEnd.class), new AttemptEnd(attempt(2), 4, 0));
  }

  @Test
  public void reportsThatLargeResponseIsNotRetained() {
    SidecarFixture sidecar = send(completed(20), attempt(2), GOOD);
    assertEquals(sidecar.onlyMessage(AttemptFailed.class).reason(), Reason.TICKET_ANSWER_FORGOTTEN);
  }

  @Test
  public void rejectsResendWhileRunningAndAfterFailure() {
    SidecarFixture sidecar = send(SidecarFixture.model(2), attempt(1), GOOD);
    send(sidecar, attempt(2), GOOD);
    assertEquals(sidecar.onlyMessage(AttemptFailed.class).reason(), Reason.TICKET_IN_PROGRESS);
    sidecar.dispatch(new UpstreamFailed(attempt(1), true, Reason.UPSTREAM_FAILED));
    send(sidecar, attempt(3), GOOD);
    assertEquals(sidecar.onlyMessage(AttemptFailed.class).reason(), Reason.UPSTREAM_FAILED);
    assertFalse(sidecar.hasEffect(StartUpstream.class));
  }

  @Test
  public void runsResendIfFirstAttemptProvablyDidNotRun() {
    SidecarFixture sidecar = send(SidecarFixture.model(2), attempt(1), GOOD);
    sidecar
        .dispatch(new UpstreamFailed(attempt(1), false, Reason.NO_UPSTREAM))
        .onlyMessage(AttemptNotRun.class);
    assertTrue(send(sidecar, attempt(2), GOOD).hasEffect(StartUpstream.class));
  }

  @DataProvider
  public static Object[][] callerDisconnections() {
    return new Object[][] {
      {new SidecarEvent.RouterDisconnected(SidecarFixture.ROUTER)},
      {
        new SidecarEvent.MessageReceived(
            SidecarFixture.ROUTER, new AttemptMessage.WithdrawAttempt(attempt(1)))
      },
    };
  }

  @Test(dataProvider = "callerDisconnections")
  public void continuesWithoutCallerAndRetainsTheResponse(SidecarEvent callerDisconnected) {
    SidecarFixture sidecar =
        send(SidecarFixture.model(2), attempt(1), GOOD).dispatch(callerDisconnected);
    assertFalse(sidecar.hasEffect(CancelUpstream.class));
    sidecar.dispatch(new UpstreamResponseStarted(attempt(1), HEAD));
    sidecar.dispatch(new UpstreamResponseData(attempt(1), Bytes.ofText("complete"), 1));
    assertTrue(sidecar.hasEffect(SidecarEffect.ReadUpstream.class), "no router grants credit");
    sidecar.dispatch(new UpstreamResponseCompleted(attempt(1), 0));
    sidecar.dispatch(new SidecarEvent.RouterConnected(SidecarFixture.ROUTER));
    send(sidecar, attempt(2), GOOD);
    assertEquals(sidecar.onlyMessage(AttemptContent.class).content(), Bytes.ofText("complete"));
  }
}
