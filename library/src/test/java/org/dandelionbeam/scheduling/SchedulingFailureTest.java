package org.dandelionbeam.scheduling;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.IntConsumer;
import org.dandelionbeam.routing.Decision;
import org.dandelionbeam.routing.SimulatedFleet;
import org.dandelionbeam.routing.Ticket;
import org.dandelionbeam.routing.UpstreamInstance;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Requests and their schedulers while messages are lost and routers stop. Guards against requests
 * that get no decision, load that is never released, and requests that are granted twice.
 */
public class SchedulingFailureTest {
  private static final int ROUTERS = 7;
  private static final int ENGINES = 6;
  private static final double TOKENS_PER_MS = 30;
  private static final int OBJECTIVE_MS = 500;

  @DataProvider
  public Object[][] seeds() {
    return new Object[][] {{1L}, {2L}, {3L}, {4L}};
  }

  private static void run(SimulatedFleet fleet, int ms) {
    for (int i = 0; i < ms; i++) {
      fleet.step();
    }
  }

  private static int schedulerOf(SimulatedFleet fleet) {
    for (int i = 0; i < ROUTERS; i++) {
      if (!fleet.router(i).service.upstreams().assigned(SimulatedFleet.MODEL).isEmpty()) {
        return i;
      }
    }
    throw new AssertionError("no router schedules the engines");
  }

  private static Ticket submitAt(SimulatedFleet.Router router, Random random) {
    String session = "s" + random.nextInt(40);
    String unique = "u" + random.nextLong();
    return router.submit("team", SimulatedFleet.prompt(session, 600, 1_000, unique), OBJECTIVE_MS);
  }

  /** Submits a request at a random router that runs, with a probability for each millisecond. */
  private static void submit(
      SimulatedFleet fleet, Random random, double perMs, List<Ticket> tickets) {
    SimulatedFleet.Router router = fleet.router(random.nextInt(ROUTERS));
    if (!router.stopped && random.nextDouble() < perMs) {
      tickets.add(submitAt(router, random));
    }
  }

  private static Map<Ticket, Integer> grants(SimulatedFleet fleet) {
    Map<Ticket, Integer> grants = new HashMap<>();
    for (int i = 0; i < ROUTERS; i++) {
      fleet.router(i).decisions.stream()
          .filter(decision -> decision instanceof Decision.Granted)
          .forEach(decision -> grants.merge(decision.ticket(), 1, Integer::sum));
    }
    return grants;
  }

  private static void assertNothingHeld(SimulatedFleet fleet) {
    for (int i = 0; i < ROUTERS; i++) {
      SimulatedFleet.Router router = fleet.router(i);
      if (!router.stopped) {
        assertEquals(router.state.loads().all(), Map.of(), "load at " + router.name);
        assertEquals(router.service.grantedCount(), 0, "grants of " + router.name);
        assertEquals(router.service.waitingCount(), 0, "waiting at " + router.name);
      }
    }
  }

  @DataProvider
  public Object[][] losses() {
    return new Object[][] {{1L, 0.05}, {2L, 0.05}, {3L, 0.3}, {4L, 0.3}};
  }

  @Test(dataProvider = "losses")
  public void lostMessagesCostNoRequestAndLeaveNoLoad(long seed, double lossRatio) {
    SimulatedFleet fleet = new SimulatedFleet(ROUTERS, ENGINES, TOKENS_PER_MS);
    fleet.loseMessages(lossRatio);
    Random random = new Random(seed);
    List<Ticket> tickets = new ArrayList<>();
    for (int ms = 0; ms < 4_000; ms++) {
      submit(fleet, random, 0.04, tickets);
      fleet.step();
    }
    run(fleet, 4_000);

    Map<Ticket, Integer> grants = grants(fleet);
    tickets.forEach(ticket -> assertEquals(grants.get(ticket), Integer.valueOf(1)));
    assertNothingHeld(fleet);
  }

  @Test(dataProvider = "seeds")
  public void schedulerThatStopsIsReplaced(long seed) {
    SimulatedFleet fleet = new SimulatedFleet(ROUTERS, ENGINES, TOKENS_PER_MS);
    Random random = new Random(seed);
    int scheduler = schedulerOf(fleet);
    List<Ticket> tickets = new ArrayList<>();
    for (int ms = 0; ms < 4_000; ms++) {
      if (ms == 1_000) {
        fleet.router(scheduler).stopped = true;
        tickets.clear();
      }
      submit(fleet, random, 0.04, tickets);
      fleet.step();
    }
    run(fleet, 4_000);

    Map<Ticket, Integer> grants = grants(fleet);
    tickets.forEach(ticket -> assertEquals(grants.get(ticket), Integer.valueOf(1)));
    int inTime = 0;
    for (int i = 0; i < ROUTERS; i++) {
      inTime += fleet.router(i).servedInTime.getOrDefault("team", 0);
    }
    assertTrue(inTime > 0.95 * tickets.size(), "in time: " + inTime + " of " + tickets.size());
    assertNothingHeld(fleet);
  }

  @Test(dataProvider = "seeds")
  public void schedulerThatWakesAgainCausesNoSecondGrant(long seed) {
    SimulatedFleet fleet = new SimulatedFleet(ROUTERS, ENGINES, TOKENS_PER_MS);
    Random random = new Random(seed);
    SimulatedFleet.Router scheduler = fleet.router(schedulerOf(fleet));
    List<Ticket> tickets = new ArrayList<>();
    for (int ms = 0; ms < 8_000; ms++) {
      scheduler.stopped = ms % 4_000 >= 1_000 && ms % 4_000 < 3_000;
      submit(fleet, random, 0.04, tickets);
      fleet.step();
    }
    run(fleet, 4_000);

    Map<Ticket, Integer> grants = grants(fleet);
    grants.values().forEach(count -> assertEquals(count, Integer.valueOf(1)));
    assertNothingHeld(fleet);
  }

  // Guards against a busy router that reads the answers of its schedulers late, takes them for dead
  // and gives its requests to routers that don't know the load of the engines.
  @Test(dataProvider = "seeds")
  public void busyRouterKeepsItsSchedulers(long seed) {
    SimulatedFleet fleet = new SimulatedFleet(ROUTERS, ENGINES, TOKENS_PER_MS);
    Random random = new Random(seed);
    int scheduler = schedulerOf(fleet);
    SimulatedFleet.Router busy = fleet.router((scheduler + 1) % ROUTERS);
    for (int ms = 0; ms < 6_000; ms++) {
      if (ms % 400 == 0) {
        submitAt(busy, random);
        busy.block(200 + random.nextInt(150));
      } else if (busy.runs() && random.nextInt(10) == 0) {
        submitAt(busy, random);
      }
      fleet.step();
      for (int i = 0; i < ROUTERS; i++) {
        SchedulerService service = fleet.router(i).service;
        int submissions = service.waitingCount() + service.grantedCount();
        assertTrue(i == scheduler || submissions == 0, "submissions at another router");
      }
    }
  }

  @Test
  public void submissionsOfARouterThatStopsAreReleased() {
    SimulatedFleet fleet = new SimulatedFleet(ROUTERS, ENGINES, 0.01);
    int scheduler = schedulerOf(fleet);
    SimulatedFleet.Router other = fleet.router((scheduler + 1) % ROUTERS);
    for (int i = 0; i < 20; i++) {
      other.submit("team", SimulatedFleet.prompt("s" + i, 600, 1_000, "u" + i), OBJECTIVE_MS);
    }
    run(fleet, 50);
    assertTrue(fleet.router(scheduler).service.grantedCount() > 0);

    other.stopped = true;
    run(fleet, 1_500);

    assertNothingHeld(fleet);
  }

  private static SimulatedFleet fleetWithAColdEngine() {
    SimulatedFleet fleet = new SimulatedFleet(ROUTERS, 1, TOKENS_PER_MS);
    run(fleet, 3_000);
    UpstreamInstance engine = fleet.router(0).state.upstreams().usable(SimulatedFleet.MODEL).get(0);
    for (int i = 0; i < ROUTERS; i++) {
      fleet
          .router(i)
          .state
          .upstreams()
          .markCold(engine.id(), Duration.ofSeconds(30), fleet.nowMs() * 1_000_000);
    }
    return fleet;
  }

  /** Submits requests at all routers, calls the action each millisecond, and checks the rate. */
  private static int assertColdRateKept(SimulatedFleet fleet, long seed, IntConsumer action) {
    Random random = new Random(seed);
    List<Long> sentMs = new ArrayList<>();
    int seen = 0;
    for (int ms = 0; ms < 8_000; ms++) {
      action.accept(ms);
      submit(fleet, random, 0.1, new ArrayList<>());
      fleet.step();
      int granted = grants(fleet).values().stream().mapToInt(Integer::intValue).sum();
      for (; seen < granted; seen++) {
        sentMs.add(fleet.nowMs());
      }
    }
    for (long start : sentMs) {
      long inSecond = sentMs.stream().filter(at -> at >= start && at < start + 1_000).count();
      assertTrue(inSecond <= 11 * 1.5 + 5, "sent in a second: " + inSecond);
    }
    return sentMs.size();
  }

  @Test(dataProvider = "seeds")
  public void coldEngineStaysWithinItsRateWhileItsSchedulerIsReplaced(long seed) {
    SimulatedFleet fleet = fleetWithAColdEngine();
    SimulatedFleet.Router scheduler = fleet.router(schedulerOf(fleet));

    int sent = assertColdRateKept(fleet, seed, ms -> scheduler.stopped = ms >= 1_500 && ms < 4_500);

    assertTrue(sent > 20, "sent in all: " + sent);
  }

  @DataProvider
  public Object[][] partitions() {
    return new Object[][] {
      {1L, new int[] {0, 0, 0, 0, 0, 0, 1}},
      {2L, new int[] {0, 0, 0, 0, 1, 1, 1}},
      {3L, new int[] {0, 0, 1, 1, 1, 2, 2}},
      {4L, new int[] {0, 1, 2, 3, 4, 5, 6}}
    };
  }

  /** Each part of the fleet takes one of its routers for the scheduler of the cold engine. */
  @Test(dataProvider = "partitions")
  public void coldEngineStaysWithinItsRateWhileRoutersCannotReachEachOther(
      long seed, int[] partitions) {
    SimulatedFleet fleet = fleetWithAColdEngine();

    assertColdRateKept(
        fleet,
        seed,
        ms -> {
          for (int i = 0; i < ROUTERS; i++) {
            fleet.router(i).partition = ms >= 1_000 && ms < 6_000 ? partitions[i] : 0;
          }
        });
  }
}
