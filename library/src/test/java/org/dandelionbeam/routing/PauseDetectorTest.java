package org.dandelionbeam.routing;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Detection of pauses from the two clocks of a process. */
public class PauseDetectorTest {
  private static final long MS = 1_000_000L;
  private static final Duration TIME = Duration.ofSeconds(2);

  @DataProvider
  public Object[][] gaps() {
    return new Object[][] {
      {100, 100, true},
      {600, 600, true},
      {100, 300, true},
      {3_000, 3_000, false},
      {50, 3_000, false},
      {100, -2_000, true}
    };
  }

  /** A clock that is set back is no pause. */
  @Test(dataProvider = "gaps")
  public void pauseIsSeenByEitherClock(long elapsedMs, long wallElapsedMs, boolean running) {
    PauseDetector pauses = new PauseDetector();
    pauses.recordEvent(0, 10_000);
    pauses.recordEvent(elapsedMs * MS, 10_000 + wallElapsedMs);

    assertEquals(pauses.hasRunFor(TIME, elapsedMs * MS), running);
    assertEquals(pauses.hasRunFor(TIME, (elapsedMs + 2_000) * MS), true);
  }
}
