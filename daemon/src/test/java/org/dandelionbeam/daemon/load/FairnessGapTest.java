package org.dandelionbeam.daemon.load;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class FairnessGapTest {
  private static final MixKind KIND =
      new MixKind("k", MixKind.Type.WHOLE, 1, "camp", null, null, null, null, null, false);
  private static final MixTeam LARGE = new MixTeam("large", "k", 2, 1, List.of(KIND));
  private static final MixTeam SMALL = new MixTeam("small", "k", 1, 1, List.of(KIND));

  @DataProvider
  Object[][] services() {
    return new Object[][] {
      {20.0, 10.0, true, 0.0},
      {40.0, 10.0, true, 40.0},
      {40.0, 10.0, false, 0.0},
    };
  }

  @Test(dataProvider = "services")
  public void gapIsTheWeightedDifferenceWhileBothAreBacklogged(
      double large, double small, boolean backlogged, double expected) {
    FairnessGap gap = new FairnessGap();
    for (int i = 0; i < 100; i++) {
      gap.onStart(LARGE, 0);
      if (backlogged) {
        gap.onStart(SMALL, 0);
      }
    }
    for (long window = 1; window <= 4; window++) {
      long at = window * FairnessGap.WINDOW_NANOS;
      gap.onEnd(LARGE, large, at);
      gap.onStart(SMALL, at);
      gap.onEnd(SMALL, small, at);
    }
    long last = 6 * FairnessGap.WINDOW_NANOS;
    gap.onStart(LARGE, last);
    gap.onStart(SMALL, last);
    assertEquals(gap.largest(), expected);
  }
}
