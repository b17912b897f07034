package dev.agatepier.core.process.internal;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import dev.agatepier.core.request.PromptMetadata;
import java.util.List;
import java.util.Set;
import org.testng.annotations.Test;

public class SizeFairnessTest {

  private static final PromptMetadata SMALL = new PromptMetadata("m", 1_000, 10, List.of());
  private static final PromptMetadata LARGE = new PromptMetadata("m", 30_000, 10, List.of());

  private final SizeFairness sizes = new SizeFairness();

  @Test
  public void sizeThatGetsNoSlotsIsUnderserved() {
    serve("draft", SMALL, 20, 10);
    assertTrue(sizes.recordArrived("draft", LARGE));
    assertFalse(sizes.recordArrived("draft", SMALL));
  }

  @Test
  public void sizeIsServedHalfAsOftenAsItsRouteAtLeast() {
    int granted = 0;
    for (int round = 0; round < 200; round++) {
      serve("mixed", SMALL, 4, 2);
      if (sizes.recordArrived("mixed", LARGE)) {
        sizes.recordGranted("mixed", LARGE);
        granted++;
      }
    }
    assertEquals(granted, 50, 10, "a quarter of 200, as half of the others get a slot");
  }

  @Test
  public void requestThatFailsAfterItsSlotIsNotServed() {
    serve("slow", SMALL, 20, 20);
    serve("slow", LARGE, 10, 10);
    assertFalse(sizes.recordArrived("slow", LARGE));
    for (int index = 0; index < 8; index++) {
      sizes.recordFailed("slow", LARGE);
    }
    assertTrue(sizes.recordArrived("slow", LARGE));
    assertFalse(sizes.recordArrived("slow", SMALL));
  }

  @Test
  public void routesAreIndependent() {
    serve("busy", SMALL, 20, 10);
    assertFalse(sizes.recordArrived("idle", LARGE));
  }

  @Test
  public void nothingIsUnderservedWhileNothingGetsSlots() {
    serve("stopped", SMALL, 20, 0);
    assertFalse(sizes.recordArrived("stopped", LARGE));
  }

  @Test
  public void forgetsRoutesThatTheTableNoLongerHas() {
    serve("removed", SMALL, 20, 10);
    sizes.retainRoutes(Set.of("draft"));
    assertFalse(sizes.recordArrived("removed", LARGE));
  }

  @Test
  public void earlierRequestsLoseWeight() {
    serve("changing", LARGE, 100, 0);
    serve("changing", LARGE, 1_000, 1_000);
    assertFalse(sizes.recordArrived("changing", LARGE));
  }

  private void serve(String route, PromptMetadata prompt, int arrived, int granted) {
    for (int index = 0; index < arrived; index++) {
      sizes.recordArrived(route, prompt);
      if (index < granted) {
        sizes.recordGranted(route, prompt);
      }
    }
  }
}
