package org.dandelionbeam.standins;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.dandelionbeam.base.MonotonicClock;
import org.dandelionbeam.base.RequestId;
import org.dandelionbeam.base.ServiceId;
import org.dandelionbeam.base.TeamId;
import org.dandelionbeam.claims.ClaimResult;
import org.dandelionbeam.claims.ClaimSettings;
import org.dandelionbeam.claims.wiring.ClaimManager;
import org.dandelionbeam.runtime.EventThread;
import org.dandelionbeam.store.wiring.HttpPlatformStore;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Three nodes claim the same keys over HTTP while the platform stand-in injects a fault. Guards
 * against a key that two nodes win, or that no node wins after the platform recovers: a fault can
 * hide whether a compare-and-swap took effect.
 */
public class ClaimsOverPlatformTest {
  private static final int NODES = 3;
  private static final int KEYS = 60;
  private static final int CALLS_PER_SECOND = 100_000;
  private static final double FAULT_SHARE = 0.3;
  private static final Duration CALL_TIMEOUT = Duration.ofMillis(200);
  private static final Duration SLOW_DELAY = Duration.ofMillis(50);
  private static final Duration TICK = Duration.ofMillis(2);
  private static final long TIMEOUT_SECONDS = 60;

  private final List<EventThread> threads = new ArrayList<>();
  private final List<ClaimManager> nodes = new ArrayList<>();
  private PlatformStandIn platform;

  @BeforeMethod
  public void start() {
    platform =
        PlatformStandIn.builder()
            .rates(CALLS_PER_SECOND, CALLS_PER_SECOND)
            .slowDelay(SLOW_DELAY)
            .start();
    ClaimSettings settings =
        new ClaimSettings(
            4,
            Duration.ofHours(1),
            Duration.ofSeconds(2),
            Duration.ofSeconds(2),
            Duration.ofMillis(100),
            KEYS);
    for (int i = 0; i < NODES; i++) {
      EventThread thread = EventThread.start("claims-" + i);
      threads.add(thread);
      nodes.add(
          ClaimManager.of(
              thread,
              HttpPlatformStore.of(platform.baseUri(), CALL_TIMEOUT),
              settings,
              MonotonicClock.system(),
              TICK));
    }
  }

  @AfterMethod
  public void stop() {
    threads.forEach(EventThread::close);
    threads.clear();
    nodes.clear();
    platform.close();
  }

  @DataProvider
  Object[][] faults() {
    return IntStream.range(0, PlatformFault.values().length)
        .mapToObj(i -> new Object[] {PlatformFault.values()[i]})
        .toArray(Object[][]::new);
  }

  @Test(dataProvider = "faults")
  public void eachKeyIsClaimedExactlyOnceAfterThePlatformRecovers(PlatformFault fault)
      throws Exception {
    int[] wins = new int[KEYS];
    platform.inject(fault, FAULT_SHARE);
    claimEveryKeyOnEveryNode(wins);
    platform.clearFaults();
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
    while (IntStream.of(wins).anyMatch(won -> won == 0) && System.nanoTime() - deadline < 0) {
      claimEveryKeyOnEveryNode(wins);
    }
    claimEveryKeyOnEveryNode(wins);
    for (int key = 0; key < KEYS; key++) {
      assertEquals(wins[key], 1, "key " + key + " with " + fault);
    }
  }

  /** Claims every key on all nodes at once and adds the granted claims to the count of each key. */
  private void claimEveryKeyOnEveryNode(int[] wins) throws Exception {
    List<List<CompletableFuture<ClaimResult>>> pending = new ArrayList<>();
    for (int key = 0; key < KEYS; key++) {
      List<CompletableFuture<ClaimResult>> ofKey = new ArrayList<>();
      for (ClaimManager node : nodes) {
        RequestId request = RequestId.of("request-" + key);
        ofKey.add(node.claim(TeamId.of(1), ServiceId.of(1), "key-" + key, request));
      }
      pending.add(ofKey);
    }
    for (int key = 0; key < KEYS; key++) {
      for (CompletableFuture<ClaimResult> claim : pending.get(key)) {
        ClaimResult result = claim.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        wins[key] += result instanceof ClaimResult.Claimed ? 1 : 0;
      }
    }
  }
}
