package org.dandelionbeam.scheduling;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.function.IntConsumer;
import org.dandelionbeam.routing.Decision;
import org.dandelionbeam.routing.InstanceId;
import org.dandelionbeam.routing.RateLimit;
import org.dandelionbeam.routing.SimulatedFleet;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Engines that name a rate limit, while routers stop, are cut off, are late or lose messages. */
public class RateLimitedEnginesTest {
  private static final int ROUTERS = 8;
  private static final double TOKENS_PER_MS = 40;
  private static final int OBJECTIVE_MS = 600;

  /** Long enough for sessions to be spread and grants to be steady. */
  private static final int LIMIT_MS = 2_000;

  private static final int LIFT_MS = 14_000;
  private static final int END_MS = 20_000;

  /** Time from the first response with the limit to the first window that counts. */
  private static final int SETTLING_MS = 3_000;

  private static final double REQUESTS_PER_ENGINE_MS = 0.025;
  private static final int WINDOW_MS = 4_000;
  private static final double TOLERATED_RATIO = 1.5;
  private static final int TOLERATED_REQUESTS = 5;

  private static void submit(SimulatedFleet fleet, Random random, double perMs) {
    for (double left = perMs; random.nextDouble() < left; left--) {
      SimulatedFleet.Router router = fleet.router(random.nextInt(ROUTERS));
      if (router.runs()) {
        String session = "s" + random.nextInt(60);
        String unique = "u" + random.nextLong();
        router.submit("team", SimulatedFleet.prompt(session, 600, 1_000, unique), OBJECTIVE_MS);
      }
    }
  }

  /** Most requests that an engine gets in a window. */
  private static long mostInWindow(SimulatedFleet fleet, InstanceId engine, long from, long to) {
    List<Long> arrivals =
        fleet.arrivalsMs(engine).stream().filter(at -> at >= from && at < to).toList();
    return arrivals.stream()
        .mapToLong(
            start -> arrivals.stream().filter(at -> at >= start && at < start + WINDOW_MS).count())
        .max()
        .orElse(0);
  }

  private static long count(SimulatedFleet fleet, InstanceId engine, long from, long to) {
    return fleet.arrivalsMs(engine).stream().filter(at -> at >= from && at < to).count();
  }

  /** Lets some engines name a limit for a time, and checks what they get. */
  private static void assertLimitKept(
      SimulatedFleet fleet, Random random, int limited, double perSecond, IntConsumer action) {
    List<InstanceId> engines = fleet.runningEngines().subList(0, limited);
    long start = fleet.nowMs();
    for (int ms = 0; ms < END_MS; ms++) {
      if (ms == LIMIT_MS) {
        engines.forEach(engine -> fleet.limit(engine, new RateLimit(perSecond)));
      } else if (ms == LIFT_MS) {
        engines.forEach(engine -> fleet.limit(engine, RateLimit.NONE));
      }
      action.accept(ms);
      submit(fleet, random, REQUESTS_PER_ENGINE_MS * fleet.runningEngines().size());
      fleet.step();
    }
    long settled = start + LIMIT_MS + SETTLING_MS;
    double allowed = TOLERATED_RATIO * perSecond * WINDOW_MS / 1_000 + TOLERATED_REQUESTS;
    for (InstanceId engine : engines) {
      long most = mostInWindow(fleet, engine, settled, start + LIFT_MS);
      assertTrue(most <= allowed, engine + " got " + most + " in a window, limit " + perSecond);
    }
  }

  /** Seed, engines, limited engines, limit. */
  @DataProvider
  public Object[][] limits() {
    return new Object[][] {
      {1L, 8, 6, 5.3}, {2L, 8, 8, 5.3}, {3L, 8, 6, 0.4}, {4L, 20, 14, 2.0}, {5L, 8, 1, 11.0}
    };
  }

  // Guards against more requests to an engine than it has said that it takes, and against one that
  // gets much less.
  @Test(dataProvider = "limits")
  public void limitIsKeptAndUsed(long seed, int engines, int limited, double perSecond) {
    SimulatedFleet fleet = new SimulatedFleet(ROUTERS, engines, TOKENS_PER_MS);
    long start = fleet.nowMs();
    assertLimitKept(fleet, new Random(seed), limited, perSecond, ms -> {});

    long settled = start + LIMIT_MS + SETTLING_MS;
    double seconds = (LIFT_MS - LIMIT_MS - SETTLING_MS) / 1_000.0;
    for (InstanceId engine : fleet.runningEngines().subList(0, limited)) {
      long used = count(fleet, engine, settled, start + LIFT_MS);
      assertTrue(used >= 0.6 * perSecond * seconds - 1, engine + " got " + used);
      long after = count(fleet, engine, start + LIFT_MS + 2_500, start + END_MS);
      double load = REQUESTS_PER_ENGINE_MS * (END_MS - LIFT_MS - 2_500);
      double limitedLoad = perSecond * (END_MS - LIFT_MS - 2_500) / 1_000;
      assertTrue(
          after > Math.min(0.5 * load, 1.5 * limitedLoad),
          engine + " got " + after + " after its limit");
    }
  }

  // Guards against requests that wait for engines that can't take them: they are refused at once,
  // with the time at which an engine takes one again.
  @Test
  public void whatNoEngineTakesIsRefusedAtOnce() {
    SimulatedFleet fleet = new SimulatedFleet(ROUTERS, 2, TOKENS_PER_MS);
    fleet.runningEngines().forEach(engine -> fleet.limit(engine, new RateLimit(0.4)));
    for (int i = 0; i < 4; i++) {
      fleet.router(0).submit("team", SimulatedFleet.prompt("s" + i, 600, 500, "u" + i), 600);
    }
    for (int ms = 0; ms < 1_000; ms++) {
      fleet.step();
    }
    SimulatedFleet.Router router = fleet.router(0);
    int before = router.decisions.size();
    for (int i = 0; i < 6; i++) {
      router.submit("team", SimulatedFleet.prompt("t" + i, 600, 500, "v" + i), 600);
    }
    for (int ms = 0; ms < 20; ms++) {
      fleet.step();
    }

    List<Decision> decisions = router.decisions.subList(before, router.decisions.size());
    long refused = decisions.stream().filter(d -> d instanceof Decision.Refused).count();
    assertEquals(refused, 6, decisions.toString());
    for (Decision decision : decisions) {
      Duration retryAfter = ((Decision.Refused) decision).retryAfter();
      assertTrue(retryAfter.compareTo(Duration.ofMillis(200)) > 0, retryAfter.toString());
      assertTrue(retryAfter.compareTo(Duration.ofSeconds(4)) < 0, retryAfter.toString());
    }
  }

  private static int schedulerOf(SimulatedFleet fleet) {
    for (int i = 0; i < ROUTERS; i++) {
      if (fleet.router(i).runs()
          && !fleet.router(i).service.upstreams().assigned(SimulatedFleet.MODEL).isEmpty()) {
        return i;
      }
    }
    return 0;
  }

  /** What happens to the fleet, by name. */
  private enum Disruption {
    SCHEDULER_STOPS {
      @Override
      void apply(SimulatedFleet fleet, Random random, int ms) {
        if (ms % 3_000 == 1_000) {
          fleet.router(schedulerOf(fleet)).stopped = true;
        } else if (ms % 3_000 == 2_500) {
          startAll(fleet);
        }
      }
    },
    ROUTERS_STOP_IN_TURN {
      @Override
      void apply(SimulatedFleet fleet, Random random, int ms) {
        if (ms % 1_200 == 0) {
          startAll(fleet);
          fleet.router(ms / 1_200 % ROUTERS).stopped = true;
        }
      }
    },
    MESSAGES_ARE_LOST {
      @Override
      void apply(SimulatedFleet fleet, Random random, int ms) {
        fleet.loseMessages(0.2);
      }
    },
    ROUTERS_ARE_LATE {
      @Override
      void apply(SimulatedFleet fleet, Random random, int ms) {
        if (ms % 500 == 0) {
          fleet.router(random.nextInt(ROUTERS)).block(150 + random.nextInt(300));
        }
      }
    },
    SCHEDULER_IS_LATE {
      @Override
      void apply(SimulatedFleet fleet, Random random, int ms) {
        if (ms % 700 == 0) {
          fleet.router(schedulerOf(fleet)).block(150 + random.nextInt(350));
        }
      }
    };

    abstract void apply(SimulatedFleet fleet, Random random, int ms);

    private static void startAll(SimulatedFleet fleet) {
      for (int i = 0; i < ROUTERS; i++) {
        fleet.router(i).stopped = false;
      }
    }
  }

  @DataProvider
  public Object[][] disruptions() {
    Object[][] rows = new Object[3 * Disruption.values().length][];
    for (int i = 0; i < rows.length; i++) {
      rows[i] = new Object[] {1L + i, Disruption.values()[i % Disruption.values().length]};
    }
    return rows;
  }

  // Guards against a limit that is forgotten, or used by two schedulers, when routers come and go.
  @Test(dataProvider = "disruptions")
  public void limitIsKeptWhileTheFleetIsDisrupted(long seed, Disruption disruption) {
    SimulatedFleet fleet = new SimulatedFleet(ROUTERS, 8, TOKENS_PER_MS);
    Random random = new Random(seed);

    assertLimitKept(fleet, random, 6, 5.3, ms -> disruption.apply(fleet, random, ms));
  }
}
