package dev.agatepier.standin.process.internal;

import dev.agatepier.standin.process.LoadScenario;
import dev.agatepier.standin.process.LoadScenario.Mix;
import dev.agatepier.standin.process.LoadScenario.Tenant;
import dev.agatepier.standin.request.PlannedCall;
import dev.agatepier.standin.request.ServiceCall;
import dev.agatepier.standin.version.TrialWorkspace;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/** Generates all calls of a load from a seed. */
final class LoadPlan {

  private static final int MAXIMUM_CALLS = 1_000_000;
  private static final int SHORT_TOKENS = 16;
  private static final int SHORT_WORDS = 12;
  private static final int LONG_TOKENS = 256;
  private static final int LONG_WORDS = 600;
  private static final int SHARED_PREFIX_WORDS = 96;
  private static final int VOCABULARY = 500;

  private final LoadScenario scenario;
  private final int routers;
  private final SplittableRandom random;

  private LoadPlan(LoadScenario scenario, int routers, long seed) {
    this.scenario = scenario;
    this.routers = routers;
    this.random = new SplittableRandom(seed);
  }

  /** Returns the calls ordered by intended start; equal arguments give equal plans. */
  static List<PlannedCall> create(LoadScenario scenario, int routers, double seconds, long seed) {
    return new LoadPlan(scenario, routers, seed).plan(seconds);
  }

  private List<PlannedCall> plan(double seconds) {
    List<PlannedCall> calls = new ArrayList<>();
    List<TrialWorkspace> workspaces = scenario.workspaces();
    for (int index = 0; index < workspaces.size(); index++) {
      Tenant tenant = scenario.tenants().get(index);
      double atSeconds = gapSeconds(tenant);
      while (atSeconds < seconds) {
        if (calls.size() == MAXIMUM_CALLS) {
          throw new IllegalArgumentException(
              "the load plan has more than " + MAXIMUM_CALLS + " calls");
        }
        calls.add(
            new PlannedCall(
                Math.round(atSeconds * TimeUnit.SECONDS.toNanos(1)),
                router(tenant, index),
                workspaces.get(index),
                call(tenant, calls.size())));
        atSeconds += gapSeconds(tenant);
      }
    }
    calls.sort(Comparator.comparingLong(PlannedCall::atNanos));
    return calls;
  }

  /** Draws the time until a tenant's next call from an exponential distribution. */
  private double gapSeconds(Tenant tenant) {
    return -Math.log(1 - random.nextDouble()) / tenant.callsPerSecond();
  }

  private int router(Tenant tenant, int index) {
    return random.nextDouble() < tenant.routerShare() ? index % routers : random.nextInt(routers);
  }

  private ServiceCall call(Tenant tenant, int number) {
    Mix mix = tenant.mix();
    double drawnFrequency =
        random.nextDouble() * (mix.shortPrompts() + mix.longPrompts() + mix.reads() + mix.orders());
    if (drawnFrequency < mix.shortPrompts()) {
      return model(tenant, number, SHORT_WORDS, SHORT_TOKENS, false);
    }
    if (drawnFrequency < mix.shortPrompts() + mix.longPrompts()) {
      return model(tenant, number, LONG_WORDS, LONG_TOKENS, true);
    }
    if (drawnFrequency < mix.shortPrompts() + mix.longPrompts() + mix.reads()) {
      return ServiceCall.read(scenario.plainService(), "/status/" + number);
    }
    return ServiceCall.order(scenario.plainService(), "/orders", tenant.workspace() + "-" + number);
  }

  /**
   * Returns a call whose prompt shares a prefix with those of its workspace; the response length is
   * random.
   */
  private ServiceCall model(Tenant tenant, int number, int words, int tokens, boolean stream) {
    StringBuilder prompt = new StringBuilder(tenant.workspace());
    for (int word = 0; word < Math.min(words / 2, SHARED_PREFIX_WORDS); word++) {
      prompt.append(" shared-").append(word);
    }
    int ownWords = 1 + random.nextInt(words);
    for (int word = 0; word < ownWords; word++) {
      prompt.append(" word-").append(random.nextInt(VOCABULARY));
    }
    prompt.append(" number ").append(number);
    int stopAfter = 1 + random.nextInt(tokens);
    return ServiceCall.model(scenario.modelService(), prompt.toString(), tokens, stopAfter, stream);
  }
}
