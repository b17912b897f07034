package dev.agatepier.core.process.internal;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;

public class PrefillTimeModelTest {

  @Test
  public void learnsConstantAndSlope() {
    PrefillTimeModel model = new PrefillTimeModel();
    for (int round = 0; round < 300; round++) {
      int tokens = 500 + round * 37 % 9_000;
      model.observe(tokens, 25 + 0.04 * tokens);
    }
    assertEquals(model.expectedMillis(0), 25, 1);
    assertEquals(model.expectedMillis(10_000), 425, 2);
  }

  @Test
  public void convergesWhenAllPromptsHaveOneSize() {
    PrefillTimeModel model = new PrefillTimeModel();
    for (int round = 0; round < 500; round++) {
      model.observe(1_000, 60);
    }
    assertEquals(model.expectedMillis(1_000), 60, 3);
  }

  @Test
  public void discountsOldObservations() {
    PrefillTimeModel model = new PrefillTimeModel();
    for (int round = 0; round < 100; round++) {
      model.observe(500 + round * 37 % 4_000, 20);
    }
    for (int round = 0; round < 200; round++) {
      model.observe(500 + round * 37 % 4_000, 200);
    }
    assertEquals(model.expectedMillis(2_000), 200, 10);
  }
}
