package org.dandelionbeam.summary;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.dandelionbeam.summary.ReportingRouter.Pause;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** What routers believe of one that is off, while others stand still, are killed and start. */
public class AvailabilityUnderFailuresTest {
  /** Time after which the directory must no longer name a router that went off. */
  private static final int OFF_BOUND_MS = 6_000;

  /** A router without any disturbance for this time has to keep the bound. */
  private static final int CALM_MS = 3_000;

  private static final int OFF_MS = 3_000;
  private static final int END_MS = 24_000;
  private static final int CHECK_INTERVAL_MS = 10;

  @DataProvider
  public Object[][] pausedRelays() {
    Pause suspended = new Pause(true, true);
    Pause suspendedWithLateReading = new Pause(true, false);
    Pause stopped = new Pause(false, true);
    Pause stoppedWithLateReading = new Pause(false, false);
    return new Object[][] {
      {7, 40, 7_000, suspended},
      {7, 40, 7_000, suspendedWithLateReading},
      {7, 300, 9_000, suspended},
      {7, 300, 9_000, stopped},
      {7, 300, 9_000, stoppedWithLateReading},
      {30, 40, 8_000, suspendedWithLateReading},
      {30, 300, 8_000, stopped},
      {95, 300, 12_000, suspended},
      {95, 300, 12_000, stoppedWithLateReading},
      {410, 300, 8_000, suspendedWithLateReading},
      {410, 300, 8_000, stopped}
    };
  }

  // Guards against a directory that names a router which has long been off, since a relay that
  // stood still when it went off reports what it had heard before as if it were new.
  @Test(dataProvider = "pausedRelays")
  public void relayThatStoodStillDoesNotReportWhatItHeardBefore(
      int size, int offAfterMs, int pausedMs, Pause pause) {
    ReportingFleet fleet = new ReportingFleet(size);
    fleet.run(OFF_MS);
    List<ReportingRouter> domain = fleet.ranked(0);
    ReportingRouter off = domain.get(1);
    domain.get(0).pause(pause);
    fleet.run(offAfterMs);
    off.stopped = true;
    fleet.run(pausedMs);
    domain.get(0).resume();

    Map<ReportingRouter, Long> calmSince = new HashMap<>();
    fleet.routers.forEach(router -> calmSince.put(router, 0L));
    calmSince.put(domain.get(0), fleet.nowMs);
    int named = 0;
    for (int i = 0; i < 6_000; i++) {
      fleet.step();
      named += namesOf(fleet, off, calmSince).size();
    }
    assertEquals(named, 0, "checks in which a calm router took the one that is off for available");
  }

  @DataProvider
  public Object[][] seeds() {
    List<Object[]> rows = new ArrayList<>();
    addSeeds(rows, 7, 40);
    addSeeds(rows, 30, 15);
    addSeeds(rows, 95, 4);
    addSeeds(rows, 410, 1);
    return rows.toArray(Object[][]::new);
  }

  private static void addSeeds(List<Object[]> rows, int size, int count) {
    for (int seed = 0; seed < count; seed++) {
      rows.add(new Object[] {size, seed, false});
      rows.add(new Object[] {size, seed, true});
    }
  }

  // Guards against beliefs that grow younger with each router that passes them on, while the roles
  // of relays change quickly.
  @Test(dataProvider = "seeds")
  public void routerThatIsOffIsNotNamedLaterThanTheBound(int size, int seed, boolean pauses) {
    SplittableRandom random = new SplittableRandom(seed);
    ReportingFleet fleet = new ReportingFleet(size);
    fleet.run(OFF_MS);
    ReportingRouter off = fleet.routers.get(random.nextInt(size));
    off.stopped = true;
    Disturbances disturbances = new Disturbances(fleet, off, random, pauses);
    Optional<String> broken = Optional.empty();
    while (fleet.nowMs < END_MS && broken.isEmpty()) {
      fleet.step();
      disturbances.step();
      if (fleet.nowMs >= OFF_MS + OFF_BOUND_MS && fleet.nowMs % CHECK_INTERVAL_MS == 0) {
        broken =
            namesOf(fleet, off, disturbances.calmSince).stream()
                .findFirst()
                .map(router -> router.member.name() + " at " + fleet.nowMs + " ms");
      }
    }
    assertEquals(broken, Optional.empty(), "names " + off.member.name());
  }

  /** Returns the routers that should know better but take another one for available. */
  private static List<ReportingRouter> namesOf(
      ReportingFleet fleet, ReportingRouter off, Map<ReportingRouter, Long> calmSince) {
    return fleet.routers.stream()
        .filter(ReportingRouter::isRunning)
        .filter(router -> fleet.nowMs - calmSince.get(router) >= CALM_MS)
        .filter(router -> router.takesForAvailable(off))
        .toList();
  }

  /** Kills, starts and pauses routers, mostly relays, and lets a registration lapse. */
  private static final class Disturbances {
    private static final int MAX_PAUSED_MS = 8_000;
    private static final int MAX_DOWN_MS = 2_000;
    private static final int MIN_INTERVAL_MS = 150;
    private static final int MAX_INTERVAL_MS = 1_500;
    private static final int RELAY_CANDIDATES = 3;

    private final ReportingFleet fleet;
    private final ReportingRouter off;
    private final SplittableRandom random;
    private final boolean pauses;
    private final Map<ReportingRouter, Long> calmSince = new HashMap<>();
    private final Map<Long, List<Runnable>> due = new HashMap<>();
    private final int lapseMs;

    /** Leaves some routers of a small fleet calm. */
    private final int intervalMs;

    private long nextMs;

    Disturbances(
        ReportingFleet fleet, ReportingRouter off, SplittableRandom random, boolean pauses) {
      this.fleet = fleet;
      this.off = off;
      this.random = random;
      this.pauses = pauses;
      fleet.routers.forEach(router -> calmSince.put(router, 0L));
      intervalMs =
          Math.max(MIN_INTERVAL_MS, Math.min(MAX_INTERVAL_MS, 10_000 / fleet.routers.size()));
      nextMs = fleet.nowMs + random.nextInt(intervalMs);
      lapseMs = OFF_MS + random.nextInt(10_000, 15_000);
      for (ReportingRouter router : fleet.routers) {
        boolean byListing = random.nextBoolean();
        at(
            lapseMs + random.nextInt(1, 2_500),
            () -> {
              if (router.isRunning()) {
                router.learnThatRegistrationLapsed(off, byListing);
              }
            });
      }
    }

    private void at(long ms, Runnable action) {
      due.computeIfAbsent(ms, key -> new ArrayList<>()).add(action);
    }

    void step() {
      List<Runnable> actions = due.remove(fleet.nowMs);
      if (actions != null) {
        actions.forEach(Runnable::run);
      }
      if (fleet.nowMs >= nextMs) {
        nextMs = fleet.nowMs + random.nextInt(1, 2 * intervalMs);
        disturb(draw());
      }
    }

    /** Draws a router, mostly one of those that may be relays. */
    private ReportingRouter draw() {
      if (random.nextInt(4) == 0) {
        return fleet.routers.get(random.nextInt(fleet.routers.size()));
      }
      List<ReportingRouter> domain = fleet.ranked(random.nextInt(ReportingFleet.DOMAINS));
      return domain.get(random.nextInt(Math.min(RELAY_CANDIDATES, domain.size())));
    }

    private void disturb(ReportingRouter router) {
      if (router == off || !router.isRunning()) {
        return;
      }
      calmSince.put(router, Long.MAX_VALUE);
      if (pauses && random.nextBoolean()) {
        router.pause(new Pause(random.nextBoolean(), random.nextBoolean()));
        at(fleet.nowMs + random.nextInt(200, MAX_PAUSED_MS), () -> resume(router));
      } else {
        router.stopped = true;
        at(fleet.nowMs + random.nextInt(300, MAX_DOWN_MS), () -> startAgain(router));
      }
    }

    private void resume(ReportingRouter router) {
      router.resume();
      calmSince.put(router, fleet.nowMs);
    }

    private void startAgain(ReportingRouter router) {
      router.startAgain(fleet.nowMs < lapseMs ? fleet.routers : fleet.without(off));
      calmSince.put(router, fleet.nowMs);
    }
  }
}
