package org.dandelionbeam.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Which requests a draining router accepts. */
public class DrainWindowTest {
  private static final long START = Long.MAX_VALUE - 1_000_000;
  private static final DrainWindow WINDOW = DrainWindow.of(START, Duration.ofSeconds(8));

  private static long at(long millis) {
    return START + millis * 1_000_000;
  }

  @DataProvider
  public Object[][] requests() {
    return new Object[][] {
      // arrival, usual duration, timeout, accepted, may be sent to an upstream
      {0, 30_000, 60_000, true, true},
      {1_999, 30_000, 60_000, true, true},
      {2_000, 30_000, 60_000, false, false},
      {2_000, 5_999, 60_000, true, true},
      {2_000, 6_000, 60_000, false, false},
      {2_700, 5_200, 60_000, true, true},
      {3_000, 1_200, 60_000, false, true},
      {3_000, 1_200, 4_800, true, true},
      {3_000, 1_200, 4_801, false, true},
      {5_400, 1_200, 3_000, false, true},
      {5_400, 2_500, 2_400, true, true},
      {5_400, 2_600, 2_401, false, false},
      {7_900, 0, 0, false, true},
      {9_000, 0, 0, false, false},
    };
  }

  // Guards against requests that outlive the router that has accepted them.
  @Test(dataProvider = "requests")
  public void laterRequestsAreAcceptedOnlyIfTheyEndInTime(
      long atMs, long usualMs, long timeoutMs, boolean accepted, boolean mayStart) {
    Duration usual = Duration.ofMillis(usualMs);
    long deadline = at(atMs + timeoutMs);

    assertEquals(WINDOW.accepts(usual, deadline, at(atMs)), accepted);
    assertEquals(WINDOW.mayStart(usual, deadline, at(atMs)), mayStart);
  }

  // Guards against a request that is cut off although it was accepted late.
  @Test
  public void whatIsAcceptedLateTimesOutBeforeTheEnd() {
    for (long arrivalMs = 3_000; arrivalMs < 8_000; arrivalMs += 10) {
      for (long timeoutMs = 0; timeoutMs < 10_000; timeoutMs += 50) {
        boolean accepted = WINDOW.accepts(Duration.ZERO, at(arrivalMs + timeoutMs), at(arrivalMs));
        assertTrue(!accepted || arrivalMs + timeoutMs <= 7_800);
      }
    }
  }
}
