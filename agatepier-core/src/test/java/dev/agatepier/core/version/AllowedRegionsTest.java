package dev.agatepier.core.version;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import org.testng.annotations.Test;

public class AllowedRegionsTest {

  private static final AllowedRegions A = AllowedRegions.only(List.of("a"));
  private static final AllowedRegions B = AllowedRegions.only(List.of("b"));
  private static final DataCentreRegions REGIONS =
      new DataCentreRegions(Map.of("a1", "a", "b1", "b"));

  /** Lists without a common region must not turn into a permission of every region. */
  @Test
  public void emptyIntersectionPermitsNothing() {
    AllowedRegions none = A.and(B);
    assertTrue(none.permitsNothing());
    assertFalse(REGIONS.permitsAny(none));
  }

  @Test
  public void listsBindTogether() {
    assertEquals(AllowedRegions.only(List.of("a", "b")).and(B), B);
    assertEquals(AllowedRegions.ALL.and(A), A.and(AllowedRegions.ALL));
  }

  /** A data centre that the settings do not list must not get requests of a bound route. */
  @Test
  public void unknownRegionIsPermittedOnlyWhereAllAre() {
    assertFalse(REGIONS.permits(A, "c1"));
    assertTrue(REGIONS.permits(AllowedRegions.ALL, "c1"));
    assertTrue(REGIONS.permits(A, "a1"));
  }
}
