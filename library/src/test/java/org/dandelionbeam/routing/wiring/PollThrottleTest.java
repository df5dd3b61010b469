package org.dandelionbeam.routing.wiring;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Hundreds of requests wait at a router, and each event asks for a decision on all of them. */
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
    long polled = 0;
    for (long now = 0; now < SECOND; now += 10 * MICRO) {
      if (pace.waitNanos(now) == 0) {
        long end = now + micros * MICRO;
        pace.recordPoll(now, end);
        polled += micros * MICRO;
        now = end;
      }
    }

    assertTrue(polled <= SECOND / 4 + micros * MICRO, "nanoseconds in polls: " + polled);
    assertTrue(polled > SECOND / 8, "nanoseconds in polls: " + polled);
  }

  @Test
  public void firstPollIsImmediate() {
    assertEquals(new PollThrottle(7).waitNanos(7), 0);
  }
}
