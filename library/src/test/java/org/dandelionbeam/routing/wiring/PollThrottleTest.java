package org.dandelionbeam.routing.wiring;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against an event loop that only polls: hundreds of requests wait at a router, and each
 * event asks for a decision on all of them.
 */
public class PollThrottleTest {
  private static final long MICRO = 1_000;
  private static final long SECOND = 1_000_000_000;

  @DataProvider
  public Object[][] pollMicros() {
    return new Object[][] {{50L}, {1_000L}, {4_000L}, {20_000L}};
  }

  @Test(dataProvider = "pollMicros")
  public void pollsTakeAtMostAQuarterOfTheTime(long micros) {
    PollThrottle pace = new PollThrottle(0);
    long pollNanos = 0;
    for (long now = 0; now < SECOND; now += 10 * MICRO) {
      if (pace.waitNanos(now) == 0) {
        long end = now + micros * MICRO;
        pace.recordPoll(now, end);
        pollNanos += micros * MICRO;
        now = end;
      }
    }

    assertTrue(pollNanos <= SECOND / 4 + micros * MICRO, "nanoseconds in polls: " + pollNanos);
    assertTrue(pollNanos > SECOND / 8, "nanoseconds in polls: " + pollNanos);
  }

  @Test
  public void firstPollIsImmediate() {
    assertEquals(new PollThrottle(7).waitNanos(7), 0);
  }
}
