package dev.agatepier.core.process.internal;

import static org.testng.Assert.assertEquals;

import dev.agatepier.core.connection.AttemptMessage.AttemptCredit;
import dev.agatepier.core.process.RouterEvent;
import dev.agatepier.core.process.RouterFixture;
import dev.agatepier.core.process.RouterPolicy;
import dev.agatepier.core.request.RequestId;
import dev.agatepier.core.version.Limits;
import java.util.List;
import java.util.Optional;
import org.testng.annotations.Test;

public class AttemptCreditTest {

  @Test
  public void creditsEveryByteInQuartersOfTheWindow() {
    RouterPolicy policy = new RouterPolicy(4, 500, 50, 3, 3, 600_000, 100, 1, 10_000, 50, 80, 0.1);
    RouterFixture router = new RouterFixture(policy, new Limits(10, 5, 0), 0);
    router.link("s1", 1, "a1");
    final RequestId request = router.call("w", "POST", "body", Optional.empty());
    router.run("grant s1; head");
    List.of(10L, 14L, 1L, 100L, 24L)
        .forEach(bytes -> router.dispatch(new RouterEvent.ResponseConsumed(request, bytes)));
    assertEquals(
        router.sent("s1", AttemptCredit.class).stream().map(AttemptCredit::bytes).toList(),
        List.of(25L, 100L));
  }
}
