package dev.agatepier.core.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import dev.agatepier.core.process.PrefixHomesExperiment.Figures;
import dev.agatepier.core.process.PrefixHomesExperiment.Setup;
import org.testng.annotations.Test;

/**
 * Prefilled prefixes and requests in time in three data centres, with homes by load and without.
 */
public class PrefixHomesFleetTest {

  private static final int SECONDS = 5;

  /** Guards against homes that keep a prefix of a quarter of all requests from idle engines. */
  @Test
  public void hotPrefixIsPrefilledSeldomAndInTime() {
    Figures one = measure(SlotAllocatorPolicy.ONE_HOME, 0.25);
    Figures byLoad = measure(SlotAllocatorPolicy.HOMES_BY_LOAD, 0.25);
    assertTrue(byLoad.sharedTokens() < 0.5 * one.sharedTokens(), one + ", " + byLoad);
    assertTrue(byLoad.inTime() > one.inTime(), one + ", " + byLoad);
  }

  /** Guards against prefixes that are prefilled wherever an engine is idle for a moment. */
  @Test
  public void manyPrefixesArePrefilledSeldomAndInTime() {
    Figures one = measure(SlotAllocatorPolicy.ONE_HOME, 0);
    Figures byLoad = measure(SlotAllocatorPolicy.HOMES_BY_LOAD, 0);
    assertTrue(byLoad.sharedTokens() < 0.5 * one.sharedTokens(), one + ", " + byLoad);
    assertTrue(byLoad.inTime() > one.inTime() + 0.05, one + ", " + byLoad);
  }

  /** Guards against an effect where the admission does not ask for it. */
  @Test
  public void otherAdmissionsDecideAsBefore() {
    assertEquals(
        decisions(
            new SlotAllocatorPolicyBuilder().prefixHomes(SlotAllocatorPolicy.HOMES_BY_LOAD).build(),
            true),
        decisions(SlotAllocatorPolicy.DEFAULT, true));
  }

  /** Guards against an effect at services whose capacity does not vary. */
  @Test
  public void servicesWithoutVaryingCapacityDecideAsBefore() {
    SlotAllocatorPolicy byLoad = PrefixHomesExperiment.policy(SlotAllocatorPolicy.HOMES_BY_LOAD);
    SlotAllocatorPolicy one = PrefixHomesExperiment.policy(SlotAllocatorPolicy.ONE_HOME);
    assertEquals(decisions(byLoad, false), decisions(one, false));
    assertNotEquals(decisions(byLoad, true), decisions(one, true));
  }

  private static Figures measure(String homes, double hotShare) {
    return PrefixHomesExperiment.measure(
        new Setup(PrefixHomesExperiment.policy(homes), true, hotShare, 0.95, 1, SECONDS));
  }

  private static int decisions(SlotAllocatorPolicy policy, boolean statesPace) {
    return PrefixHomesExperiment.measure(new Setup(policy, statesPace, 0.25, 0.7, 2, 3))
        .decisions();
  }
}
