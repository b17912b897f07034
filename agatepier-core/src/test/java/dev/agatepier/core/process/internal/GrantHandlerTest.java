package dev.agatepier.core.process.internal;

import static org.testng.Assert.assertEquals;

import dev.agatepier.core.connection.AttemptMessage.StartAttempt;
import dev.agatepier.core.connection.LinkMessage.GrantDeclined;
import dev.agatepier.core.process.RouterFixture;
import dev.agatepier.core.process.RouterPolicy;
import dev.agatepier.core.version.Limits;
import java.util.List;
import java.util.Optional;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class GrantHandlerTest {

  private static final String PREFIX = "p".repeat(256);

  @DataProvider
  public Object[][] choices() {
    return new Object[][] {
      // Script run after the calls "warm" (prefix known to s1), "cold" and "ticket" (issued by s2);
      // calls that s1 ran; calls that s2 ran.
      {"grant s1; grant s1; grant s2; grant s2", "warm cold", "ticket"},
      {"grant s2; grant s2; grant s2; wait 50; grant s2", "", "ticket cold warm"},
      {"wait 50; grant s2; grant s2; grant s2", "", "ticket warm cold"},
      {"lost s1; wait 50; grant s2; grant s2; grant s2", "", "ticket warm cold"},
    };
  }

  @Test(dataProvider = "choices")
  public void selectsByTicketThenPrefixThenAge(String script, String first, String second) {
    RouterFixture fixture = new RouterFixture();
    fixture.run("link s1/1; link s2/1");
    fixture.call("w", "POST", PREFIX, Optional.empty());
    fixture.run("grant s1; head; end 0");
    fixture.call("w", "POST", PREFIX + "warm", Optional.empty());
    fixture.call("w", "POST", "cold", Optional.empty());
    fixture.call("w", "POST", "ticket", Optional.of(RouterFixture.ticket("w", "s2", 1)));
    fixture.run(script);
    assertEquals(startedBodies(fixture, "s1"), (" " + first).stripTrailing());
    assertEquals(startedBodies(fixture, "s2"), (" " + second).stripTrailing());
  }

  @Test
  public void retriesOnAnotherSidecar() {
    RouterFixture fixture = new RouterFixture();
    fixture.run("link s1/1; link s2/1");
    fixture.call("w", "GET", "retry", Optional.empty());
    fixture.run("grant s1; failed upstream-failed; grant s1");
    assertEquals(fixture.sent("s1", GrantDeclined.class).size(), 1);
    fixture.run("grant s2; head; end 0");
    assertEquals(fixture.outcomes(), List.of("completed"));
  }

  @Test
  public void limitsRetriesToRetryBudget() {
    RouterFixture fixture = new RouterFixture(RouterPolicy.DEFAULT, new Limits(99, 9, 0), 0.125);
    fixture.run("link s1/1; link s2/1");
    int started = 0;
    for (int call = 0; call < 50; call++) {
      fixture.call("w", "GET", "call" + call, Optional.empty());
      while (fixture.outcomes().size() == call) {
        fixture.run("wait 200; grant s1; failed upstream-failed");
        started++;
      }
    }
    // An initial 2 and 0.125 (exact in binary) for each of 50 calls: 8.25 retries.
    assertEquals(started, 58);
    assertEquals(fixture.outcomes().getLast(), "unknown retry-budget");
  }

  private static String startedBodies(RouterFixture fixture, String sidecar) {
    StringBuilder bodies = new StringBuilder();
    for (StartAttempt start : fixture.sent(sidecar, StartAttempt.class)) {
      String body = start.body().text().replace(PREFIX, "");
      bodies.append(body.isEmpty() ? "" : " " + body);
    }
    return bodies.toString();
  }
}
