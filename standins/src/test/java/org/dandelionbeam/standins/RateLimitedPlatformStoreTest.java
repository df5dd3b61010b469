package org.dandelionbeam.standins;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.time.Duration;
import java.util.Random;
import java.util.concurrent.CompletionException;
import java.util.concurrent.atomic.AtomicLong;
import org.dandelionbeam.base.FleetException;
import org.dandelionbeam.base.Verdict;
import org.dandelionbeam.store.PlatformStore;
import org.dandelionbeam.store.StoreHealth.State;
import org.dandelionbeam.store.StoreRateLimiter;
import org.dandelionbeam.store.wiring.HttpPlatformStore;
import org.dandelionbeam.store.wiring.RateLimitedPlatformStore;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the rate limit and the health of a store whose calls reach the platform stand-in. */
public class RateLimitedPlatformStoreTest {
  private static final long SECOND_NANOS = Duration.ofSeconds(1).toNanos();

  private final AtomicLong now = new AtomicLong();
  private PlatformStandIn platform;

  @BeforeMethod
  public void start() {
    platform = PlatformStandIn.start();
  }

  @AfterMethod
  public void stop() {
    platform.close();
  }

  @Test
  public void callBeyondTheRateLimitIsNotMadeAndFailsWithNotRun() {
    RateLimitedPlatformStore store = rateLimitedStore(2);
    store.read("k").join();
    store.read("k").join();
    CompletionException thrown =
        expectThrows(
            CompletionException.class, () -> store.compareAndSwap("k", 0, new byte[1]).join());
    assertEquals(((FleetException) thrown.getCause()).verdict(), Verdict.NOT_RUN);
    assertEquals(platform.calls(), 2);
    now.addAndGet(SECOND_NANOS);
    store.read("k").join();
    assertEquals(platform.calls(), 3);
  }

  @Test
  public void changedRateAppliesAtOnce() {
    RateLimitedPlatformStore store = rateLimitedStore(1);
    store.read("k").join();
    store.changeRate(10);
    now.addAndGet(SECOND_NANOS / 10);
    assertEquals(store.read("k").join().revision(), 0);
  }

  @DataProvider
  public Object[][] failures() {
    return new Object[][] {{PlatformFault.REFUSE}, {PlatformFault.LOSE_ANSWER}};
  }

  @Test(dataProvider = "failures")
  public void healthFollowsTheOutcomesOfCalls(PlatformFault fault) {
    RateLimitedPlatformStore store = rateLimitedStore(100);
    platform.inject(fault, 1);
    for (int i = 0; i < 3; i++) {
      expectThrows(
          CompletionException.class, () -> store.lease("l", "h", Duration.ofSeconds(1)).join());
    }
    assertEquals(store.health(), State.OUT);
    platform.clearFaults();
    for (int i = 0; i < 3; i++) {
      assertEquals(store.health(), State.OUT);
      store.read("k").join();
    }
    assertEquals(store.health(), State.UP);
  }

  private RateLimitedPlatformStore rateLimitedStore(double burst) {
    PlatformStore store = HttpPlatformStore.of(platform.baseUri(), Duration.ofSeconds(2));
    StoreRateLimiter limiter = StoreRateLimiter.of(new Random(1), 1, burst, 0);
    return RateLimitedPlatformStore.of(store, limiter, now::get, new SimpleMeterRegistry());
  }
}
