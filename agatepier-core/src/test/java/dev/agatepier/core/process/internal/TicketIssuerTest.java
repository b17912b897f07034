package dev.agatepier.core.process.internal;

import static org.testng.Assert.assertEquals;

import dev.agatepier.core.connection.LinkMessage.Heartbeat;
import dev.agatepier.core.process.RouterEffect;
import dev.agatepier.core.process.RouterEffect.IssueTicket;
import dev.agatepier.core.process.RouterEvent;
import dev.agatepier.core.process.RouterFixture;
import dev.agatepier.core.request.RequestId;
import dev.agatepier.core.request.Ticket;
import java.util.Collections;
import java.util.List;
import org.testng.annotations.Test;

public class TicketIssuerTest {

  private final RequestId request = new RequestId("r1", 1, 1);

  @Test
  public void issuesForAnIncarnationInTheOwnDataCentreAtItsLastClock() {
    RouterFixture fixture = new RouterFixture();
    fixture.link("s1", 7, "a2");
    fixture.link("s2", 8, "a1");
    fixture.message(fixture.linked.get("s2"), new Heartbeat(1, 1, false, 900));
    Ticket ticket = new Ticket("w", RouterFixture.SERVICE, "s2", 8, 900, request);
    assertEquals(requestTicket(fixture), List.of(new IssueTicket(request, ticket)));
  }

  @Test
  public void issuesNoneWithoutLiveSidecar() {
    RouterFixture fixture = new RouterFixture();
    requestTicket(fixture);
    fixture.link("s1", 1, "a1");
    fixture.message(fixture.linked.get("s1"), new Heartbeat(1, 1, true, 900));
    requestTicket(fixture);
    fixture.dispatch(new RouterEvent.PeerConnected(RouterFixture.sidecar("s2", 1, "a1")));
    requestTicket(fixture);
    assertEquals(fixture.outcomes(), Collections.nCopies(3, "not-run no-upstream"));
  }

  private List<RouterEffect> requestTicket(RouterFixture fixture) {
    return fixture.dispatch(new RouterEvent.TicketRequested(request, "w", RouterFixture.SERVICE));
  }
}
