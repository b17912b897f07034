package dev.agatepier.core.process;

import static org.testng.Assert.assertTrue;

import dev.agatepier.core.request.CallPlan;
import dev.agatepier.core.request.PromptMetadata;
import dev.agatepier.core.request.PromptPart;
import dev.agatepier.core.request.RequestId;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Callers ask for more than the engines can do, with prompts of very different sizes. */
public class LargestRequestsTest {

  private static final List<String> ENGINES = List.of("e1", "e2", "e3");
  private static final List<String> WORKSPACES = List.of("w1", "w2", "w3", "w4");
  private static final CallPlan PLAN =
      new CallPlan("draft", false, true, true, 2, 15_000, 1_000, 300, 1);
  private static final int DURATION_MILLIS = 180_000;
  private static final int STEPS_PER_TICK = 5;

  /** Prompts have at least the first number of tokens; the rest is log-normal up to a maximum. */
  private static final int LEAST_TOKENS = 4_000;

  private static final int MEDIAN_TOKENS = 2_500;
  private static final int MOST_TOKENS = 60_000;
  private static final double SIGMA = 1.4;

  /** A caller's request, which is sent once more if it is rejected. */
  private static final class Request {
    private final int number;
    private final int tokens;
    private final String workspace;
    private boolean repeated;
    private boolean served;

    private Request(int number, int tokens, String workspace) {
      this.number = number;
      this.tokens = tokens;
      this.workspace = workspace;
    }

    private PromptMetadata prompt() {
      PromptPart own = new PromptPart("own-" + number, tokens);
      return new PromptMetadata("m", tokens, 100, List.of(own));
    }
  }

  private record Arrival(double millis, Request request) {}

  @DataProvider
  public Object[][] loads() {
    return new Object[][] {{57.0, 1.5, 1}, {57.0, 2.5, 2}, {28.0, 1.5, 3}, {19.0, 2.0, 4}};
  }

  /**
   * The objective is the same for all sizes, so the largest requests miss it first.
   *
   * @param tokensPerMilli prompt tokens that an engine prefills in a millisecond
   * @param load tokens asked for as a multiple of what the engines prefill
   */
  @Test(dataProvider = "loads")
  public void largestRequestsAreServedHalfAsOftenAsAll(
      double tokensPerMilli, double load, long seed) {
    List<Request> requests = serve(tokensPerMilli, load, seed);
    requests.sort(Comparator.comparingInt(request -> request.tokens));
    double all = servedShare(requests, 0, 1);
    double largestTenth = servedShare(requests, 0.9, 1);
    double nextFifth = servedShare(requests, 0.7, 0.9);
    assertTrue(
        largestTenth >= all / 2 && nextFifth >= all / 2,
        String.format(
            "of the largest tenth %.2f were served, of the next fifth %.2f, of all %d %.2f",
            largestTenth, nextFifth, requests.size(), all));
  }

  private static double servedShare(List<Request> sorted, double from, double to) {
    List<Request> part = sorted.subList((int) (from * sorted.size()), (int) (to * sorted.size()));
    return part.stream().filter(request -> request.served).count() / (double) part.size();
  }

  private static List<Request> serve(double tokensPerMilli, double load, long seed) {
    AllocatingRouter router = new AllocatingRouter(WORKSPACES, ENGINES);
    SimulatedEngines engines = new SimulatedEngines(router, tokensPerMilli);
    PriorityQueue<Arrival> arrivals = arrivals(load * ENGINES.size() * tokensPerMilli, seed);
    List<Request> requests = new ArrayList<>(arrivals.stream().map(Arrival::request).toList());
    Map<RequestId, Request> sent = new HashMap<>();
    for (int step = 0; step * SimulatedEngines.STEP_MILLIS < DURATION_MILLIS; step++) {
      double nowMillis = step * SimulatedEngines.STEP_MILLIS;
      while (!arrivals.isEmpty() && arrivals.peek().millis <= nowMillis) {
        Request request = arrivals.poll().request;
        sent.put(router.call(request.workspace, PLAN, request.prompt()), request);
      }
      engines.advance();
      if (step % STEPS_PER_TICK == 0) {
        router.tick();
      }
      for (RouterEffect effect : router.takeEffects()) {
        if (effect instanceof RouterEffect.RunAttempt run) {
          Request request = sent.get(run.attempt().request());
          request.served = true;
          engines.start(run, request.tokens);
        } else if (effect instanceof RouterEffect.FailRequest failed
            && !sent.get(failed.request()).repeated) {
          Request request = sent.get(failed.request());
          request.repeated = true;
          arrivals.add(new Arrival(nowMillis + failed.retryAfterMillis(), request));
        }
      }
    }
    return requests;
  }

  private static PriorityQueue<Arrival> arrivals(double tokensPerMilli, long seed) {
    Random random = new Random(seed);
    double meanTokens =
        random.ints(10_000, 0, 1).mapToDouble(zero -> tokens(random)).average().orElseThrow();
    PriorityQueue<Arrival> arrivals =
        new PriorityQueue<>(Comparator.comparingDouble(Arrival::millis));
    double millis = 0;
    while (millis < DURATION_MILLIS) {
      millis -= Math.log(1 - random.nextDouble()) * meanTokens / tokensPerMilli;
      String workspace = WORKSPACES.get(random.nextInt(WORKSPACES.size()));
      arrivals.add(new Arrival(millis, new Request(arrivals.size(), tokens(random), workspace)));
    }
    return arrivals;
  }

  private static int tokens(Random random) {
    double tokens = MEDIAN_TOKENS * Math.exp(SIGMA * random.nextGaussian());
    return LEAST_TOKENS + (int) Math.min(tokens, MOST_TOKENS);
  }
}
