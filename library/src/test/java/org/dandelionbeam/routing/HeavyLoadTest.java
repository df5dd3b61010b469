package org.dandelionbeam.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Scheduling under heavy load, one test per load pattern. */
public class HeavyLoadTest {
  private static final int ROUTERS = 7;
  private static final int ENGINES = 6;
  private static final double TOKENS_PER_MS = 30;
  private static final int OBJECTIVE_MS = 500;
  private static final int SECONDS = 12;

  @DataProvider
  public Object[][] seeds() {
    return new Object[][] {{1L}, {2L}, {3L}, {4L}};
  }

  private static PromptProfile prompt(Random random, String session, long own) {
    return SimulatedFleet.prompt(session, 600, own, "u" + random.nextLong());
  }

  /** Submits requests of a team at random times, at a mean rate per second over all routers. */
  private static void submitRandomly(
      SimulatedFleet fleet, Random random, String team, double perSecond, long own) {
    if (random.nextDouble() < perSecond / 1_000) {
      String session = "s" + random.nextInt(40);
      fleet
          .router(random.nextInt(fleet.routerCount()))
          .submit(team, prompt(random, session, own), OBJECTIVE_MS);
    }
  }

  @Test(dataProvider = "seeds")
  public void floodOfOneTeamLeavesOtherTeamsTheirShare(long seed) {
    SimulatedFleet fleet = new SimulatedFleet(ROUTERS, ENGINES, TOKENS_PER_MS);
    Random random = new Random(seed);
    int submitted = 0;
    for (int ms = 0; ms < SECONDS * 1_000; ms++) {
      submitRandomly(fleet, random, "flood", 200, 2_000);
      if (random.nextDouble() < 0.02) {
        submitted++;
        submitRandomly(fleet, random, "light", 1_000, 2_000);
      }
      fleet.step();
    }

    int inTime = fleet.sum(router -> router.servedInTime, "light");
    assertTrue(inTime > 0.8 * submitted, "light team in time: " + inTime + " of " + submitted);
    int served = fleet.sum(router -> router.served, "flood");
    assertTrue(served > 55 * SECONDS, "requests of the flood served: " + served);
  }

  /** A team that asks for far more than its share hears so at once, not after a long wait. */
  @Test(dataProvider = "seeds")
  public void excessOfOneTeamIsRefusedAtOnce(long seed) {
    SimulatedFleet fleet = new SimulatedFleet(ROUTERS, ENGINES, TOKENS_PER_MS);
    Random random = new Random(seed);
    for (int ms = 0; ms < SECONDS * 1_000; ms++) {
      submitRandomly(fleet, random, "flood", 200, 2_000);
      submitRandomly(fleet, random, "light", 20, 2_000);
      submitRandomly(fleet, random, "other", 20, 2_000);
      fleet.step();
    }

    int atOnce = 0;
    int late = 0;
    for (int i = 0; i < fleet.routerCount(); i++) {
      for (Decision decision : fleet.router(i).decisions) {
        if (decision instanceof Decision.Refused refused) {
          boolean waited = refused.reason() == Decision.RefusalReason.WAITED_TOO_LONG;
          atOnce += waited ? 0 : 1;
          late += waited ? 1 : 0;
        }
      }
    }
    assertTrue(atOnce > 9 * late, "refused at once " + atOnce + ", after a wait " + late);
  }

  /**
   * Under overload of one team, serving its oldest requests first would make most responses
   * slightly late.
   */
  @Test
  public void requestThatCanMeetItsObjectiveGoesBeforeOneThatCannot() {
    SimulatedFleet fleet = new SimulatedFleet(1, 1, TOKENS_PER_MS);
    SimulatedFleet.Router router = fleet.router(0);
    UpstreamInstance engine = router.state.upstreams().usable(SimulatedFleet.MODEL).get(0);
    UpstreamLoad busy = new UpstreamLoad(4, 12_000, 12_000);
    router.state.loads().add(engine.number(), busy);

    router.submit("team", SimulatedFleet.prompt("s", 600, 2_000, "older"), OBJECTIVE_MS);
    for (int ms = 0; ms < 400; ms++) {
      fleet.step();
    }
    router.submit("team", SimulatedFleet.prompt("s", 600, 2_000, "newer"), OBJECTIVE_MS);
    router.state.loads().subtract(engine.number(), busy);
    for (int ms = 0; ms < 150; ms++) {
      fleet.step();
    }

    List<Long> granted =
        router.decisions.stream()
            .filter(decision -> decision instanceof Decision.Granted)
            .map(decision -> decision.ticket().number())
            .toList();
    assertEquals(granted, List.of(2L, 1L));
  }

  @Test(dataProvider = "seeds")
  public void largeTeamsGetSimilarShares(long seed) {
    SimulatedFleet fleet = new SimulatedFleet(ROUTERS, ENGINES, TOKENS_PER_MS);
    Random random = new Random(seed);
    for (int ms = 0; ms < SECONDS * 1_000; ms++) {
      submitRandomly(fleet, random, "large", 120, 2_000);
      submitRandomly(fleet, random, "larger", 60, 2_000);
      fleet.step();
    }

    int large = fleet.sum(router -> router.served, "large");
    int larger = fleet.sum(router -> router.served, "larger");
    assertTrue(larger > 0.6 * large, "served " + large + " and " + larger);
  }

  /**
   * A team that used the engines alone must not get less than its share after another team starts.
   */
  @Test(dataProvider = "seeds")
  public void largeTeamKeepsItsShareWhenAnotherOneStarts(long seed) {
    SimulatedFleet fleet = new SimulatedFleet(ROUTERS, ENGINES, TOKENS_PER_MS);
    Random random = new Random(seed);
    for (int ms = 0; ms < 6_000; ms++) {
      submitRandomly(fleet, random, "first", 160, 2_000);
      fleet.step();
    }
    int before = fleet.sum(router -> router.served, "first");
    for (int ms = 0; ms < 4_000; ms++) {
      submitRandomly(fleet, random, "first", 160, 2_000);
      submitRandomly(fleet, random, "second", 160, 2_000);
      fleet.step();
    }

    int first = fleet.sum(router -> router.served, "first") - before;
    int second = fleet.sum(router -> router.served, "second");
    assertTrue(first > 0.6 * second, "served in four seconds: " + first + " and " + second);
    assertTrue(second > 0.6 * first, "served in four seconds: " + first + " and " + second);
  }

  @Test(dataProvider = "seeds")
  public void largeTeamWithOneSessionGetsItsShare(long seed) {
    SimulatedFleet fleet = new SimulatedFleet(ROUTERS, ENGINES, TOKENS_PER_MS);
    Random random = new Random(seed);
    for (int ms = 0; ms < SECONDS * 1_000; ms++) {
      submitRandomly(fleet, random, "spread", 120, 2_000);
      if (random.nextDouble() < 0.06) {
        String session = "hot";
        fleet
            .router(random.nextInt(ROUTERS))
            .submit("narrow", prompt(random, session, 2_000), OBJECTIVE_MS);
      }
      fleet.step();
    }

    int spread = fleet.sum(router -> router.served, "spread");
    int narrow = fleet.sum(router -> router.served, "narrow");
    int expected = Math.min(60 * SECONDS, spread);
    assertTrue(narrow > 0.7 * expected, "served " + spread + " and " + narrow);
  }

  @Test(dataProvider = "seeds")
  public void sessionsStayOnTheEngineThatCachesThem(long seed) {
    SimulatedFleet fleet = new SimulatedFleet(ROUTERS, ENGINES, TOKENS_PER_MS);
    Random random = new Random(seed);
    for (int ms = 0; ms < SECONDS * 1_000; ms++) {
      submitRandomly(fleet, random, "team", 45, 2_000);
      fleet.step();
    }

    long sharedPrefill = fleet.sharedPrefillTokens();
    long sessions = 40;
    assertTrue(sharedPrefill <= 2 * sessions * 600, "shared tokens prefilled: " + sharedPrefill);
  }

  /**
   * Sessions with long shared parts fill the engines' memory, and the requests of a session arrive
   * at any router.
   */
  @Test(dataProvider = "seeds")
  public void longSharedPartsAreRarelyPrefilledTwiceUnderLoad(long seed) {
    SimulatedFleet fleet = new SimulatedFleet(ROUTERS, ENGINES, TOKENS_PER_MS);
    Random random = new Random(seed);
    int sessions = 60;
    int sent = 0;
    for (int ms = 0; ms < SECONDS * 1_000; ms++) {
      if (random.nextDouble() < 0.055) {
        sent++;
        String session = "s" + (int) (sessions * random.nextDouble() * random.nextDouble());
        PromptProfile profile =
            SimulatedFleet.prompt(session, 5_000, 2_000, "u" + random.nextLong());
        fleet.router(random.nextInt(ROUTERS)).submit("team", profile, OBJECTIVE_MS);
      }
      fleet.step();
    }

    long sharedPrefill = fleet.sharedPrefillTokens();
    long firstPrefill = sessions * 5_000L;
    assertTrue(
        sharedPrefill < 2 * firstPrefill,
        sent + " sent, shared tokens prefilled: " + sharedPrefill);
  }

  @DataProvider
  public Object[][] otherEngines() {
    return new Object[][] {{0, true}, {3_000, false}, {6_000, false}};
  }

  /**
   * When the engine that caches a long shared part has a long backlog, a busy second engine must
   * not prefill the part again.
   */
  @Test(dataProvider = "otherEngines")
  public void busyEngineDoesNotPrefillWhatAnotherEngineCaches(int backlogTokens, boolean granted) {
    SimulatedFleet fleet = new SimulatedFleet(1, 2, TOKENS_PER_MS);
    SimulatedFleet.Router router = fleet.router(0);
    PromptProfile profile = SimulatedFleet.prompt("session", 6_000, 2_000, "first");
    Decision first = router.decide("team", profile, 1_000);
    int holder = ((Decision.Granted) first).instance().number();
    int other = 0;
    for (UpstreamInstance engine : router.state.upstreams().usable(SimulatedFleet.MODEL)) {
      other = engine.number() == holder ? other : engine.number();
    }
    router.state.loads().add(holder, new UpstreamLoad(8, 30_000, 30_000));
    router.state.loads().add(other, new UpstreamLoad(1, backlogTokens, backlogTokens));

    PromptProfile second = SimulatedFleet.prompt("session", 6_000, 2_000, "second");
    Decision decision = router.decide("team", second, 1_000);

    assertEquals(decision instanceof Decision.Granted, granted, decision.toString());
  }

  /**
   * Sessions that start with the same long part must not all be sent to the engine that caches it.
   */
  @Test(dataProvider = "seeds")
  public void newSessionsSpreadEvenlyAlthoughTheyShareALongFirstPart(long seed) {
    SimulatedFleet fleet = new SimulatedFleet(ROUTERS, ENGINES, TOKENS_PER_MS);
    Random random = new Random(seed);
    Map<InstanceId, Integer> sessions = new HashMap<>();
    long common = PromptProfile.hashOf("common");
    for (int i = 0; i < 10 * ENGINES; i++) {
      long session = PromptProfile.hashOf("s" + random.nextLong());
      PromptProfile profile =
          new PromptProfile(
              8_000,
              20,
              List.of(
                  new PromptProfile.Part(common, 2_500),
                  new PromptProfile.Part(session, 3_500),
                  new PromptProfile.Part(PromptProfile.hashOf("own" + i), 2_000)));
      Decision decision = fleet.router(random.nextInt(ROUTERS)).decide("team", profile, 1_000);
      sessions.merge(((Decision.Granted) decision).instance().id(), 1, Integer::sum);
      for (int ms = 0; ms < 60; ms++) {
        fleet.step();
      }
    }

    assertEquals(sessions.size(), ENGINES);
    assertTrue(Collections.max(sessions.values()) <= 15, "sessions by engine: " + sessions);
  }

  @Test(dataProvider = "seeds")
  public void hotSessionSpreadsBeforeItsEngineIsOverloaded(long seed) {
    SimulatedFleet fleet = new SimulatedFleet(ROUTERS, ENGINES, TOKENS_PER_MS);
    Random random = new Random(seed);
    int submitted = 0;
    for (int ms = 0; ms < SECONDS * 1_000; ms++) {
      if (random.nextDouble() < 0.025) {
        submitted++;
        fleet
            .router(random.nextInt(ROUTERS))
            .submit("team", prompt(random, "hot", 2_000), OBJECTIVE_MS);
      }
      fleet.step();
    }

    int inTime = fleet.sum(router -> router.servedInTime, "team");
    assertTrue(inTime > 0.85 * submitted, "hot session in time: " + inTime + " of " + submitted);
  }

  @Test
  public void requestsAreRefusedOnlyUnderOverloadAndThenAtOnce() {
    SimulatedFleet fleet = new SimulatedFleet(1, 1, TOKENS_PER_MS);
    Random random = new Random(1);
    Decision first = fleet.router(0).decide("team", prompt(random, "s", 2_000), OBJECTIVE_MS);
    assertTrue(first instanceof Decision.Granted, first.toString());

    Decision last = first;
    for (int i = 0; i < 60; i++) {
      fleet.router(0).submit("team", prompt(random, "s", 2_000), OBJECTIVE_MS);
      last = fleet.router(0).decisions.get(fleet.router(0).decisions.size() - 1);
    }
    assertTrue(last instanceof Decision.Refused, last.toString());
    Decision.Refused refused = (Decision.Refused) last;
    assertEquals(refused.reason(), Decision.RefusalReason.OVERLOADED);
    assertTrue(refused.retryAfter().toMillis() >= 200, refused.toString());
  }

  @Test
  public void waitingRequestsAreRefusedBeforeTheirCallersTimeOut() {
    SimulatedFleet fleet = new SimulatedFleet(1, 1, 1);
    Random random = new Random(1);
    for (int i = 0; i < 4; i++) {
      fleet.router(0).submit("team", prompt(random, "s", 4_000), OBJECTIVE_MS);
    }
    for (int ms = 0; ms < 1_200; ms++) {
      fleet.step();
    }

    assertEquals(fleet.router(0).service.waitingCount(), 0);
    assertTrue(fleet.sum(router -> router.refused, "team") >= 2);
  }

  @Test
  public void schedulerStaysWithinTheRateOfAColdEngine() {
    int sent = 0;
    UpstreamRateLimiter limiter = UpstreamRateLimiter.of(SimulatedFleet.LIMITS);
    InstanceId engine = InstanceId.of("engine");
    for (int ms = 0; ms < 1_000; ms++) {
      long now = ms * SimulatedFleet.MS;
      if (limiter.allowsWhileCold(engine, 11, now)) {
        limiter.recordSent(engine, now);
        sent++;
      }
    }

    assertTrue(sent <= 11 * 1.5 + 5, "sent in a second: " + sent);
    assertTrue(sent > 11, "sent in a second: " + sent);
  }

  @DataProvider
  public Object[][] retryPatterns() {
    return new Object[][] {
      {7, 100, false}, {7, 100, true}, {112, 1_000, false}, {112, 1_000, true}
    };
  }

  /**
   * All requests fail and are retried, all the time or all at once; the routers hear of each
   * other's retries late.
   */
  @Test(dataProvider = "retryPatterns")
  public void allRoutersTogetherStayWithinTheRetryBudget(
      int routers, int requestIntervalMs, boolean allAtOnce) {
    ServiceName service = ServiceName.of("ledger");
    List<RetryBudget> budgets = new ArrayList<>();
    for (int i = 0; i < routers; i++) {
      budgets.add(RetryBudget.of(SimulatedFleet.LIMITS, RouterName.of("router-" + i).number()));
    }
    int retries = 0;
    int requests = 0;
    List<Map<Integer, RetryCounts>> delayed = Collections.nCopies(routers, Map.of());
    for (int ms = 0; ms < 10_000; ms += 20) {
      long now = ms * SimulatedFleet.MS;
      if (ms % 300 == 0) {
        for (int i = 0; i < routers; i++) {
          budgets.get(i).recordOthers(without(sum(delayed), delayed.get(i)), now);
        }
        delayed = budgets.stream().map(budget -> budget.localCounts(now)).toList();
      }
      for (RetryBudget budget : budgets) {
        if (ms % requestIntervalMs == 0) {
          budget.recordRequest(service, now);
          requests++;
        }
        boolean failing = !allAtOnce || ms >= 9_000;
        retries += failing && budget.tryAcquire(service, routers, now) ? 1 : 0;
      }
    }

    assertTrue(retries <= 0.2 * requests + 54, retries + " retries of " + requests);
    assertTrue(retries > 0.1 * requests, "the budget is used: " + retries + " of " + requests);
  }

  private static Map<Integer, RetryCounts> sum(List<Map<Integer, RetryCounts>> counts) {
    FleetCounters.Sum sum = new FleetCounters.Sum();
    counts.forEach(part -> sum.add(new FleetCounters(Map.of(), Map.of(), part, Map.of())));
    return sum.total().retries();
  }

  private static Map<Integer, RetryCounts> without(
      Map<Integer, RetryCounts> all, Map<Integer, RetryCounts> own) {
    return new FleetCounters(Map.of(), Map.of(), all, Map.of())
        .minus(new FleetCounters(Map.of(), Map.of(), own, Map.of()))
        .retries();
  }
}
