package org.dandelionbeam.store;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.OptionalLong;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** Checks the rate limiter and the health state of the store without a store. */
public class RateLimiterAndHealthTest {
  private static final long NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);
  private static final long NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

  @Test
  public void reserveNeverGrantsMoreThanBurstAndRate() {
    StoreRateLimiter limiter = StoreRateLimiter.of(new Random(1), 10, 5, NANOS_PER_SECOND / 2);
    int granted = 0;
    for (long now = 0; now < 10 * NANOS_PER_SECOND; now += NANOS_PER_MILLI) {
      granted += limiter.reserve(now).isPresent() ? 1 : 0;
    }
    assertTrue(granted <= 10 * 10 + 5 + 5, "granted " + granted);
    assertTrue(granted >= 10 * 10, "granted " + granted);
  }

  @Test
  public void reserveAddsJitterToWaitsAndRejectsBeyondTheLongestWait() {
    StoreRateLimiter limiter = StoreRateLimiter.of(new Random(1), 10, 1, NANOS_PER_SECOND / 10);
    assertEquals(limiter.reserve(0), OptionalLong.of(0));
    long wait = limiter.reserve(0).getAsLong();
    assertTrue(
        wait >= NANOS_PER_SECOND / 10 && wait <= NANOS_PER_SECOND * 15 / 100, "wait " + wait);
    assertEquals(limiter.reserve(0), OptionalLong.empty());
  }

  @Test
  public void changeRateAppliesToTheTimeAfterIt() {
    StoreRateLimiter limiter = StoreRateLimiter.of(new Random(1), 1, 1, 0);
    limiter.reserve(0);
    limiter.changeRate(100, 0);
    assertEquals(limiter.reserve(NANOS_PER_SECOND / 100), OptionalLong.of(0));
  }

  @Test
  public void healthTurnsOutAfterThreeFailuresAndUpAfterThreeAnswers() {
    StoreHealth health = StoreHealth.of(100 * NANOS_PER_MILLI);
    health.failed();
    health.failed();
    health.answered(NANOS_PER_MILLI);
    assertEquals(health.state(), StoreHealth.State.UP);
    for (int i = 0; i < 3; i++) {
      health.failed();
    }
    health.answered(NANOS_PER_MILLI);
    health.answered(NANOS_PER_MILLI);
    assertEquals(health.state(), StoreHealth.State.OUT);
    health.answered(NANOS_PER_MILLI);
    assertEquals(health.state(), StoreHealth.State.UP);
  }

  @Test
  public void healthIsSlowUntilLatencyFallsBelowHalfTheThreshold() {
    StoreHealth health = StoreHealth.of(100 * NANOS_PER_MILLI);
    for (int i = 0; i < 30; i++) {
      health.answered(200 * NANOS_PER_MILLI);
    }
    assertEquals(health.state(), StoreHealth.State.SLOW);
    for (int i = 0; i < 30; i++) {
      health.answered(75 * NANOS_PER_MILLI);
    }
    assertEquals(health.state(), StoreHealth.State.SLOW);
    for (int i = 0; i < 30; i++) {
      health.answered(NANOS_PER_MILLI);
    }
    assertEquals(health.state(), StoreHealth.State.UP);
  }
}
