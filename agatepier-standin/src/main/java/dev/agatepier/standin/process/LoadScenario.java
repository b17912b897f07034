package dev.agatepier.standin.process;

import dev.agatepier.standin.version.TrialWorkspace;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

/**
 * A mix of calls that some workspaces make.
 *
 * @param name name of the scenario
 * @param dataCentres its data centres, each in a region of its own
 * @param modelService name of the model service
 * @param plainService name of the plain service
 * @param tenants what each workspace sends
 */
public record LoadScenario(
    String name,
    List<String> dataCentres,
    String modelService,
    String plainService,
    List<Tenant> tenants) {

  private static final int WORKSPACES = 16;
  private static final int LARGE_WORKSPACES = 3;
  private static final int MAXIMUM_WAITING = 500;
  private static final int MAXIMUM_RUNNING = 200;

  /** Checks the names and copies the tenants. */
  public LoadScenario {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(modelService, "modelService");
    Objects.requireNonNull(plainService, "plainService");
    dataCentres = List.copyOf(dataCentres);
    tenants = List.copyOf(tenants);
  }

  /**
   * What one workspace sends.
   *
   * @param workspace name of the workspace
   * @param weight its weight in the table
   * @param callsPerSecond calls that it makes in a second, on average
   * @param routerShare share of its calls that go to its home router; the others are spread evenly
   * @param mix how often it makes each sort of call
   */
  public record Tenant(
      String workspace, double weight, double callsPerSecond, double routerShare, Mix mix) {

    /** Checks the numbers. */
    public Tenant {
      Objects.requireNonNull(workspace, "workspace");
      Objects.requireNonNull(mix, "mix");
      if (!(weight > 0) || !(callsPerSecond > 0) || !(routerShare >= 0 && routerShare <= 1)) {
        throw new IllegalArgumentException("a number of " + workspace + " is out of range");
      }
    }
  }

  /**
   * How often each sort of call is made, relative to the others.
   *
   * @param shortPrompts short questions to the model, not streamed
   * @param longPrompts long drafts of the model, streamed
   * @param reads idempotent reads of the plain service
   * @param orders orders at the plain service, which may not be repeated
   */
  public record Mix(double shortPrompts, double longPrompts, double reads, double orders) {

    /** Checks that something is sent. */
    public Mix {
      if (!(shortPrompts + longPrompts + reads + orders > 0)) {
        throw new IllegalArgumentException("the mix has no call");
      }
    }
  }

  /** Returns seating drafts and confirmations for the places of Tanpura. */
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

  /** Returns layout drafts, questions and orders for the places of Beridze. */
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

  /** Returns the scenario with every workspace's rate of calls multiplied. */
  public LoadScenario scaledBy(double factor) {
    List<Tenant> scaled =
        tenants.stream()
            .map(
                each ->
                    new Tenant(
                        each.workspace(),
                        each.weight(),
                        each.callsPerSecond() * factor,
                        each.routerShare(),
                        each.mix()))
            .toList();
    return new LoadScenario(name, dataCentres, modelService, plainService, scaled);
  }

  /** Returns the workspaces as rows of the table. */
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

  /** Returns the CSV text of the services. */
  public String servicesCsv() {
    return "service,kind,idempotent_calls,deadline_seconds,retry_share\n"
        + modelService
        + ",model,POST /v1/chat/completions,120,0.1\n"
        + plainService
        + ",plain,GET /,30,0.1\n";
  }

  /** Small workspaces, a few large ones, and the last one floods its home router. */
  private static LoadScenario builtIn(
      String name,
      List<String> dataCentres,
      String model,
      String plain,
      String prefix,
      Mix small,
      Mix large) {
    List<Tenant> tenants = new ArrayList<>();
    for (int number = 1; number < WORKSPACES; number++) {
      boolean isLarge = number <= LARGE_WORKSPACES;
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
