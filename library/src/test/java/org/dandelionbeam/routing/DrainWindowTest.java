package org.dandelionbeam.routing;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Which requests a draining router accepts. */
public class DrainWindowTest {
  @DataProvider
  public Object[][] requests() {
    return new Object[][] {
      {0, 30_000, true},
      {1_999, 30_000, true},
      {2_000, 30_000, false},
      {2_000, 5_999, true},
      {2_000, 6_000, false},
      {5_400, 2_500, true},
      {5_400, 2_600, false},
      {9_000, 0, false},
    };
  }

  @Test(dataProvider = "requests")
  public void laterRequestsAreAcceptedOnlyIfTheyEndInTime(
      long atMs, long durationMs, boolean accepted) {
    long start = Long.MAX_VALUE - 1_000_000;
    DrainWindow window = DrainWindow.of(start, Duration.ofSeconds(8));

    assertEquals(window.accepts(Duration.ofMillis(durationMs), start + atMs * 1_000_000), accepted);
  }
}
