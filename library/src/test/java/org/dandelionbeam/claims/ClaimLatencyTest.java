package org.dandelionbeam.claims;

import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.HdrHistogram.Histogram;
import org.dandelionbeam.base.ServiceId;
import org.dandelionbeam.base.TeamId;
import org.dandelionbeam.base.Verdict;
import org.testng.Reporter;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Measures in simulated time how long claims wait and how many calls to the store they take, for
 * several numbers of nodes, buckets and claims per second.
 */
public class ClaimLatencyTest {
  private static final int DURATION_SECONDS = 10;
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final long TICK_NANOS = 5 * NANOS_PER_MILLI;
  private static final long REQUEST_NANOS = 100 * NANOS_PER_MILLI;

  @DataProvider
  Object[][] sizes() {
    return new Object[][] {
      {8, 16, 10}, {8, 64, 10}, {8, 256, 10}, {8, 16, 50}, {8, 256, 50},
      {8, 16, 200}, {8, 64, 200}, {8, 256, 200}, {410, 64, 200}, {410, 256, 200},
    };
  }

  @Test(dataProvider = "sizes")
  public void mostClaimsWaitForOneReadAndOneWrite(int nodes, int buckets, int claimsPerSecond) {
    Simulation simulation = new Simulation(nodes, buckets);
    simulation.run(claimsPerSecond);
    Histogram waits = simulation.waits;
    Reporter.log(
        ("claims: %d nodes, %d buckets, %d claims/s: wait p50 %.1f and p95 %.1f ticks of 5 ms, "
                + "%.0f reads/s, %.0f writes/s, %.1f %% of the writes in conflict")
            .formatted(
                nodes,
                buckets,
                claimsPerSecond,
                waits.getValueAtPercentile(50) / (double) TICK_NANOS,
                waits.getValueAtPercentile(95) / (double) TICK_NANOS,
                simulation.reads / (double) DURATION_SECONDS,
                simulation.writes / (double) DURATION_SECONDS,
                100.0 * simulation.conflicts / simulation.writes),
        true);
    assertTrue(waits.getTotalCount() > claimsPerSecond * DURATION_SECONDS * 0.8);
    assertTrue(waits.getValueAtPercentile(95) < 20 * TICK_NANOS);
  }

  /** Coordinators in simulated time with a store whose latency is 2 to 6 milliseconds. */
  private static final class Simulation {
    private final SplittableRandom random = new SplittableRandom(1);
    private final Map<Integer, ClaimBucket> values = new HashMap<>();
    private final PriorityQueue<Event> events =
        new PriorityQueue<>(Comparator.comparingLong(Event::nanos));
    private final Map<Long, Long> startNanos = new HashMap<>();
    private final Map<Long, ClaimKey> keys = new HashMap<>();
    private final List<ClaimCoordinator> coordinators = new ArrayList<>();
    private final Histogram waits = new Histogram(3);
    private long lastClaim;
    private long nanos;
    private int reads;
    private int writes;
    private int conflicts;

    private record Event(long nanos, Runnable run) {}

    Simulation(int nodes, int buckets) {
      ClaimSettings settings =
          new ClaimSettings(
              buckets,
              Duration.ofHours(24),
              Duration.ofSeconds(2),
              Duration.ofSeconds(2),
              Duration.ofSeconds(1),
              1_000);
      for (int i = 0; i < nodes; i++) {
        ClaimCoordinator coordinator = ClaimCoordinator.of(settings, new SplittableRandom(i));
        coordinators.add(coordinator);
        at(random.nextLong(TICK_NANOS), () -> tick(coordinator));
      }
    }

    void run(int claimsPerSecond) {
      for (int i = 0; i < claimsPerSecond * DURATION_SECONDS; i++) {
        at(random.nextLong(DURATION_SECONDS * 1_000 * NANOS_PER_MILLI), this::claim);
      }
      while (!events.isEmpty()
          && events.peek().nanos() < DURATION_SECONDS * 1_000 * NANOS_PER_MILLI) {
        Event next = events.poll();
        nanos = next.nanos();
        next.run().run();
      }
    }

    private void claim() {
      ClaimCoordinator coordinator = coordinators.get(random.nextInt(coordinators.size()));
      long claim = ++lastClaim;
      ClaimKey key = ClaimKey.of(TeamId.of(1), ServiceId.of(1), "key-" + claim);
      startNanos.put(claim, nanos);
      keys.put(claim, key);
      perform(coordinator, coordinator.claim(claim, key, now()));
    }

    private void tick(ClaimCoordinator coordinator) {
      perform(coordinator, coordinator.tick(now()));
      at(nanos + TICK_NANOS, () -> tick(coordinator));
    }

    private void perform(ClaimCoordinator coordinator, List<ClaimAction> actions) {
      for (ClaimAction action : actions) {
        if (action instanceof ClaimAction.Answer answer) {
          answered(coordinator, answer);
        } else {
          call(coordinator, action);
        }
      }
    }

    private void answered(ClaimCoordinator coordinator, ClaimAction.Answer answer) {
      if (answer.result() instanceof ClaimResult.Claimed) {
        waits.recordValue(nanos - startNanos.remove(answer.claim()));
        ClaimKey key = keys.remove(answer.claim());
        at(nanos + REQUEST_NANOS, () -> coordinator.finished(key, Verdict.RAN, 200, now()));
      }
    }

    /** Schedules a call; it takes effect at the store after half of its latency. */
    private void call(ClaimCoordinator coordinator, ClaimAction action) {
      long halfLatencyNanos = NANOS_PER_MILLI + random.nextLong(2 * NANOS_PER_MILLI);
      at(
          nanos + halfLatencyNanos,
          () -> {
            Runnable end = applyCall(coordinator, action);
            at(nanos + halfLatencyNanos, end);
          });
    }

    private Runnable applyCall(ClaimCoordinator coordinator, ClaimAction action) {
      if (action instanceof ClaimAction.Read read) {
        reads++;
        ClaimBucket value = value(read.bucket());
        return () ->
            perform(coordinator, coordinator.read(read.bucket(), read.call(), value, now()));
      }
      ClaimAction.Swap swap = (ClaimAction.Swap) action;
      writes++;
      boolean swapped = value(swap.bucket()).revision() == swap.expectedRevision();
      if (swapped) {
        long next = swap.expectedRevision() + 1;
        values.put(swap.bucket(), new ClaimBucket(next, swap.entries()));
      } else {
        conflicts++;
      }
      ClaimBucket value = value(swap.bucket());
      return () ->
          perform(
              coordinator, coordinator.swapped(swap.bucket(), swap.call(), swapped, value, now()));
    }

    private ClaimBucket value(int bucket) {
      return values.getOrDefault(bucket, new ClaimBucket(0, List.of()));
    }

    private void at(long when, Runnable run) {
      events.add(new Event(when, run));
    }

    private ClaimTime now() {
      return new ClaimTime(nanos, nanos / 1_000 / NANOS_PER_MILLI);
    }
  }
}
