package dev.agatepier.standin.process;

import dev.agatepier.standin.version.TrialWorkspace;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

/**
 * Workload of a load test: the workspaces, their call rates and their mixes of calls.
 *
 * @param name name of the scenario
 * @param dataCentres names of the data centres, each in its own region
 * @param modelService name of the model service
 * @param plainService name of the plain service
 * @param tenants workload of each workspace
 */
public record LoadScenario(
    String name,
    List<String> dataCentres,
    String modelService,
    String plainService,
    List<Tenant> tenants) {

  private static final int WORKSPACE_COUNT = 16;
  private static final int LARGE_WORKSPACE_COUNT = 3;
  private static final int MAXIMUM_WAITING = 500;
  private static final int MAXIMUM_RUNNING = 200;

  /** Rejects null names and copies the lists. */
  public LoadScenario {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(modelService, "modelService");
    Objects.requireNonNull(plainService, "plainService");
    dataCentres = List.copyOf(dataCentres);
    tenants = List.copyOf(tenants);
  }

  /**
   * Workload of one workspace.
   *
   * @param workspace name of the workspace
   * @param weight its weight in the table
   * @param callsPerSecond mean rate of calls
   * @param routerShare share of its calls that go to its home router, from 0 to 1; the others are
   *     spread evenly
   * @param mix relative frequency of each kind of call
   */
  public record Tenant(
      String workspace, double weight, double callsPerSecond, double routerShare, Mix mix) {

    /** Checks the ranges of the numbers. */
    public Tenant {
      Objects.requireNonNull(workspace, "workspace");
      Objects.requireNonNull(mix, "mix");
      if (!(weight > 0) || !(callsPerSecond > 0) || !(routerShare >= 0 && routerShare <= 1)) {
        throw new IllegalArgumentException(
            "workspace %s: weight %s, callsPerSecond %s must be positive, routerShare %s in [0, 1]"
                .formatted(workspace, weight, callsPerSecond, routerShare));
      }
    }
  }

  /**
   * Relative frequencies of the kinds of calls.
   *
   * @param shortPrompts short prompts to the model, not streamed
   * @param longPrompts long prompts to the model, streamed
   * @param reads idempotent reads of the plain service
   * @param orders orders at the plain service, not idempotent
   */
  public record Mix(double shortPrompts, double longPrompts, double reads, double orders) {

    /** Checks that at least one frequency is positive. */
    public Mix {
      if (!(shortPrompts + longPrompts + reads + orders > 0)) {
        throw new IllegalArgumentException(
            "the sum of the frequencies of a mix is "
                + (shortPrompts + longPrompts + reads + orders)
                + ", must be positive");
      }
    }
  }

  /** Returns the scenario of Tanpura: seating plans by the model, confirmations as plain calls. */
  public static LoadScenario tanpura() {
    return builtIn(
        "tanpura",
        List.of("kolkata-a", "siliguri-a", "durgapur-a"),
        "plan-model",
        "chair-desk",
        "ensemble",
        new Mix(3, 2, 3, 1),
        new Mix(1, 4, 1, 1));
  }

  /** Returns the scenario of Beridze: layout plans and questions to the model, plain orders. */
  public static LoadScenario beridze() {
    return builtIn(
        "beridze",
        List.of("tbilisi-a", "kutaisi-a", "batumi-a"),
        "stand-assistant",
        "booking-portal",
        "stand",
        new Mix(4, 1, 2, 1),
        new Mix(1, 5, 1, 2));
  }

  /** Returns a copy with every workspace's call rate multiplied by a factor. */
  public LoadScenario scaledBy(double factor) {
    List<Tenant> scaled =
        tenants.stream()
            .map(
                tenant ->
                    new Tenant(
                        tenant.workspace(),
                        tenant.weight(),
                        tenant.callsPerSecond() * factor,
                        tenant.routerShare(),
                        tenant.mix()))
            .toList();
    return new LoadScenario(name, dataCentres, modelService, plainService, scaled);
  }

  /** Returns the workspaces of the published table. */
  public List<TrialWorkspace> workspaces() {
    return tenants.stream()
        .map(
            tenant ->
                new TrialWorkspace(
                    tenant.workspace(),
                    tenant.weight(),
                    MAXIMUM_WAITING,
                    MAXIMUM_RUNNING,
                    List.of(modelService, plainService)))
        .toList();
  }

  /** Returns the services page of the published table as CSV. */
  public String servicesCsv() {
    return "service,kind,idempotent_calls,deadline_seconds,retry_share\n"
        + modelService
        + ",model,POST /v1/chat/completions,120,0.1\n"
        + plainService
        + ",plain,GET /,30,0.1\n";
  }

  /** Returns a few large workspaces, many small ones and one that floods its home router. */
  private static LoadScenario builtIn(
      String name,
      List<String> dataCentres,
      String model,
      String plain,
      String prefix,
      Mix small,
      Mix large) {
    List<Tenant> tenants = new ArrayList<>();
    for (int number = 1; number < WORKSPACE_COUNT; number++) {
      boolean isLarge = number <= LARGE_WORKSPACE_COUNT;
      String workspace = prefix + "-" + number;
      tenants.add(
          isLarge
              ? new Tenant(workspace, 4, 6, 0.7, large)
              : new Tenant(workspace, 1, 1, number % 2 == 0 ? 1 : 0, small));
    }
    tenants.add(new Tenant(prefix + "-flooder", 1, 20, 1, new Mix(1, 2, 0, 0)));
    return new LoadScenario(name, dataCentres, model, plain, tenants);
  }
}
