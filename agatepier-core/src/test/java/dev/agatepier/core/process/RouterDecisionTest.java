package dev.agatepier.core.process;

import static org.testng.Assert.assertEquals;

import dev.agatepier.core.request.Ticket;
import java.util.List;
import java.util.Optional;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class RouterDecisionTest {

  private static final String TICKET = "TICKET";

  @DataProvider
  public Object[][] outcomes() {
    return new Object[][] {
      // call, script of events, expected outcome
      {"POST", "grant s1; head; part 0; part 1; end 2", "completed"},
      {"POST", "grant s1; head; end 0", "completed"},
      {"POST", "grant s1; head; part 0; part 0; end 1", "completed"},
      {"POST", "grant s1; head; part 0; part 2", "unknown answer-incomplete"},
      {"POST", "grant s1; head; part 0; end 2", "unknown answer-incomplete"},
      {"POST", "grant s1; end 0", "unknown answer-incomplete"},
      {"GET", "grant s1; head; part 0; end 2", "unknown answer-incomplete"},
      {"POST", "wait 10000", "not-run deadline"},
      {"POST", "disconnect", "not-run caller-gone"},
      {"POST", "grant s1; disconnect; notrun withdrawn", "not-run caller-gone"},
      {"POST", "grant s1; disconnect; failed withdrawn", "unknown caller-gone"},
      {"POST", "grant s1; disconnect; wait 500", "unknown caller-gone"},
      {"POST", "grant s1; disconnect; head; end 0", "unknown caller-gone"},
      {"POST", "grant s1; wait 10000; notrun withdrawn", "not-run deadline"},
      {"POST", "grant s1; wait 10000; failed withdrawn", "unknown deadline"},
      {"POST", "grant s1; wait 10000; wait 500", "unknown deadline"},
      {"POST", "grant s1; wait 10000; lost s1", "unknown deadline"},
      {"POST", "grant s1; wait 10000; head; end 0", "completed"},
      {"POST", "grant s1; failed upstream-failed", "unknown upstream-failed"},
      {"POST", "grant s1; failed upstream-died", "unknown upstream-died"},
      {"POST", "grant s1; lost s1", "unknown link-lost"},
      {"POST", "grant s1; link s1/2", "unknown link-lost"},
      {"POST", "grant s1; head; part 0; lost s1", "unknown link-lost"},
      {"POST", "grant s1; notrun draining; wait 10000", "not-run deadline"},
      {"POST", "grant s1; notrun draining; grant s2; head; end 0", "completed"},
      {"POST", "grant s1; notrun draining; grant s2; lost s2", "unknown link-lost"},
      {"POST", "grant s1; notrun bad-request", "not-run bad-request"},
      {"GET", "grant s1; lost s1; grant s2; head; end 0", "completed"},
      {"GET", "grant s1; lost s1; grant s2; notrun draining; wait 10000", "unknown deadline"},
      {"GET", "grant s1; lost s1; wait 10000", "unknown deadline"},
      {"GET", "grant s1; lost s1; disconnect", "unknown caller-gone"},
      {"GET", "grant s1; head; lost s1", "unknown link-lost"},
      {
        "GET",
        "grant s1; failed upstream-failed; grant s2; failed upstream-failed; wait 200;"
            + "grant s1; failed upstream-failed",
        "unknown upstream-failed"
      },
      {TICKET, "grant s2; grant s1; head; end 0", "completed"},
      {TICKET, "wait 10000", "unknown deadline"},
      {TICKET, "disconnect", "unknown caller-gone"},
      {TICKET, "lost s1; wait 10000", "unknown ticket-home-gone"},
      {TICKET, "link s1/2", "unknown ticket-home-gone"},
      {TICKET, "grant s1; lost s1; link s1/1; grant s1; head; end 0", "completed"},
      {TICKET, "grant s1; lost s1; link s1/2", "unknown ticket-home-gone"},
      {
        TICKET,
        "grant s1; lost s1; link s1/1; grant s1; notrun draining; wait 10000",
        "unknown deadline"
      },
      {TICKET, "grant s1; head; lost s1", "unknown link-lost"},
      {TICKET, "grant s1; notrun draining; wait 10000", "not-run deadline"},
      {TICKET, "grant s1; notrun ticket-expired", "unknown ticket-expired"},
      {TICKET, "grant s1; failed ticket-in-progress", "unknown ticket-in-progress"},
      {TICKET, "grant s1; failed ticket-answer-forgotten", "unknown ticket-answer-forgotten"},
    };
  }

  @Test(dataProvider = "outcomes")
  public void reportsOnlyProvenOutcomes(String kind, String script, String outcome) {
    RouterFixture fixture = new RouterFixture();
    fixture.run("link s1/1; link s2/1");
    Optional<Ticket> ticket =
        kind.equals(TICKET) ? Optional.of(RouterFixture.ticket("w", "s1", 1)) : Optional.empty();
    fixture.call("w", kind.equals("GET") ? "GET" : "POST", "body", ticket);
    fixture.run(script);
    assertEquals(fixture.outcomes(), List.of(outcome), script);
    fixture.advance(60_000);
    assertEquals(fixture.outcomes(), List.of(outcome), "no second outcome: " + script);
    assertEquals(fixture.decision.snapshot(fixture.now).queues(), List.of());
  }
}
