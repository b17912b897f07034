package dev.agatepier.core.process.internal;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import dev.agatepier.core.connection.SlotMessage.WaitingCall;
import dev.agatepier.core.request.PromptMetadata;
import dev.agatepier.core.request.RequestId;
import dev.agatepier.core.version.Upstream;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import org.testng.annotations.Test;

public class ResponseLengthsTest {

  private static final int MAXIMUM = 1_000;
  private static final Upstream ENGINE =
      new Upstream("engine", 1, "service", "127.0.0.1", 8_000, "a1", 64, false);

  private static PromptMetadata prompt(int hint) {
    return new PromptMetadata("m", 500, hint, MAXIMUM, OptionalInt.of(hint), List.of());
  }

  private static SlotAllocation allocation(UpstreamLoad engine, int number, PromptMetadata prompt) {
    RequestId request = new RequestId("r", 1, number);
    WaitingCall call =
        new WaitingCall(request, "w", "", 1_000, 15_000, true, false, Optional.of(prompt));
    return new SlotAllocation("r", call, engine, 0, 0, 0, 0, 0, 0);
  }

  private static ResponseLengths applied() {
    ResponseLengths lengths = new ResponseLengths();
    lengths.setApplied(true);
    return lengths;
  }

  /** Without the setting, memory has to be reserved as before: what the prompt states. */
  @Test
  public void statedLengthCountsUnlessCorrectionsApply() {
    ResponseLengths lengths = new ResponseLengths();
    for (int index = 0; index < 100; index++) {
      lengths.observe("w", prompt(50), 400);
    }
    assertEquals(lengths.expected("w", Optional.of(prompt(50))), new ExpectedOutput(50, 0));
  }

  /** Estimates that are far too low must not let an engine run out of memory. */
  @Test
  public void lowEstimatesOfWorkspaceAreRaisedAndOthersAreNot() {
    ResponseLengths lengths = applied();
    for (int index = 0; index < 100; index++) {
      lengths.observe("w", prompt(50), 400);
    }
    assertEquals(lengths.expected("w", Optional.of(prompt(50))).tokens(), 400, 1);
    assertEquals(lengths.expected("v", Optional.of(prompt(50))).tokens(), 50, 0);
  }

  @Test
  public void expectationStaysBetweenGeneratedTokensAndMaximum() {
    ResponseLengths lengths = applied();
    for (int index = 0; index < 100; index++) {
      lengths.observe("w", prompt(50), index % 2 == 0 ? 400 : 20);
    }
    ExpectedOutput far = lengths.expected("w", Optional.of(prompt(900)));
    assertEquals(
        far, new ExpectedOutput(MAXIMUM, 0), "neither tokens nor error beyond the maximum");
    ExpectedOutput started = new ExpectedOutput(30, 90_000).within(700, MAXIMUM);
    assertEquals(started, new ExpectedOutput(700, 90_000));
    assertEquals(started.within(2_000, MAXIMUM), new ExpectedOutput(MAXIMUM, 0));
  }

  /** The sum of real lengths must stay within the reserve of an engine, whatever the estimates. */
  @Test
  public void reserveCoversRunningResponsesWithEstimatesThatAreOftenFarOff() {
    Random random = new Random(7);
    ResponseLengths lengths = applied();
    int trials = 2_000;
    int running = 12;
    int exceeded = 0;
    int statedExceeded = 0;
    double reservedShare = 0;
    for (int trial = 0; trial < trials; trial++) {
      UpstreamLoad engine = new UpstreamLoad(ENGINE, 0);
      double actual = 0;
      double stated = 0;
      for (int index = 0; index < running; index++) {
        PromptMetadata prompt = prompt(20 + random.nextInt(200));
        int hint = prompt.outputTokens();
        long length = Math.min(MAXIMUM, Math.round(hint * Math.exp(random.nextGaussian())));
        SlotAllocation allocation = allocation(engine, index, prompt);
        allocation.output = lengths.expected("w", Optional.of(prompt));
        engine.add(allocation, true);
        actual += length;
        stated += hint;
        lengths.observe("w", prompt, length);
      }
      double reserved = engine.runningTokens();
      exceeded += actual > reserved ? 1 : 0;
      statedExceeded += actual > stated ? 1 : 0;
      reservedShare += reserved / actual / trials;
    }
    String figures =
        String.format(
            "exceeded %.3f, by the stated lengths %.3f; reserved %.2f times the real tokens",
            (double) exceeded / trials, (double) statedExceeded / trials, reservedShare);
    assertTrue(exceeded < 0.04 * trials && reservedShare < 2, figures);
  }
}
