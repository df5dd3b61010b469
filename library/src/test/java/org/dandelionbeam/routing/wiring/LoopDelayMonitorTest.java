package org.dandelionbeam.routing.wiring;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import org.testng.annotations.Test;

/** Delays of the event loop. */
public class LoopDelayMonitorTest {
  private static final long MS = 1_000_000L;

  // Guards against a router whose callers wait unseen, as its event loop is busy.
  @Test
  public void theLongestDelayIsTakenOnce() {
    LoopDelayMonitor monitor = new LoopDelayMonitor(Duration.ofMillis(100), 0);
    monitor.recordRun(101 * MS);
    monitor.recordRun(561 * MS);
    monitor.recordRun(662 * MS);

    assertEquals(monitor.takeMaxDelay(), Duration.ofMillis(360));
    assertEquals(monitor.takeMaxDelay(), Duration.ZERO);
  }
}
