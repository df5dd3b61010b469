package org.dandelionbeam.routing;

import static org.testng.Assert.assertTrue;

import java.util.Random;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Shares of teams while other teams ask for more than the engines can read. */
public class TeamShareTest {
  private static final int ROUTERS = 16;
  private static final double TOKENS_PER_MS = 41.4;
  private static final int SHARED_TOKENS = 6_300;
  private static final int OWN_TOKENS = 2_890;
  private static final int OBJECTIVE_MS = 600;
  private static final double WIDE_LOAD = 1.05;
  private static final double NARROW_LOAD = 0.2;
  private static final int WARM_UP_MS = 4_000;

  /** The narrow team is hot from then on. */
  private static final int SETTLING_START_MS = 3_000;

  private static final int MEASURED_MS = 6_000;
  private static final int SESSIONS_PER_ENGINE = 6;

  /** A team that gets less than this share of what it asked for or of the best served team. */
  private static final double UNFAIR_SHARE = 0.5;

  /** Load of two teams over all routers, relative to what the engines can read. */
  private static final class Load {
    private final SimulatedFleet fleet;
    private final Random random;
    private final int engines;

    Load(long seed, int engines) {
      fleet = new SimulatedFleet(ROUTERS, engines, TOKENS_PER_MS);
      random = new Random(seed);
      this.engines = engines;
    }

    /** Submits the requests of one millisecond; returns their number. */
    int submit(String team, double load, int sessions) {
      int count = 0;
      double perMs = load * engines * TOKENS_PER_MS / OWN_TOKENS;
      for (double left = perMs; random.nextDouble() < left; left--) {
        String session = team + random.nextInt(sessions);
        String unique = "u" + random.nextLong();
        fleet
            .router(random.nextInt(ROUTERS))
            .submit(
                team,
                SimulatedFleet.prompt(session, SHARED_TOKENS, OWN_TOKENS, unique),
                OBJECTIVE_MS);
        count++;
      }
      return count;
    }

    int served(String team) {
      return fleet.sum(router -> router.served, team);
    }
  }

  /** Seed, engines, sessions of the narrow team, and its load before it becomes hot. */
  @DataProvider
  public Object[][] narrowTeams() {
    return new Object[][] {
      {1L, 20, 1, 0.2},
      {2L, 20, 1, 0.2},
      {3L, 20, 2, 0.2},
      {1L, 60, 1, 0.2},
      {1L, 60, 4, 0.2},
      {1L, 20, 1, 0.01},
      {2L, 20, 1, 0.01},
      {3L, 20, 2, 0.01},
      {1L, 60, 1, 0.01},
      {1L, 60, 4, 0.01}
    };
  }

  // Guards against a team with few sessions that is served only by the engines that cache them,
  // while requests of a team with far more usage go to all others.
  @Test(dataProvider = "narrowTeams")
  public void teamWithFewLongSessionsGetsItsShareBesideATeamWithMany(
      long seed, int engines, int sessions, double loadBefore) {
    Load load = new Load(seed, engines);
    for (int ms = 0; ms < WARM_UP_MS; ms++) {
      load.submit("wide", WIDE_LOAD, SESSIONS_PER_ENGINE * engines);
      load.submit("narrow", ms < SETTLING_START_MS ? loadBefore : NARROW_LOAD, sessions);
      load.fleet.step();
    }
    int narrowBefore = load.served("narrow");
    int wideBefore = load.served("wide");
    int asked = 0;
    for (int ms = 0; ms < MEASURED_MS; ms++) {
      load.submit("wide", WIDE_LOAD, SESSIONS_PER_ENGINE * engines);
      asked += load.submit("narrow", NARROW_LOAD, sessions);
      load.fleet.step();
    }

    int narrow = load.served("narrow") - narrowBefore;
    int wide = load.served("wide") - wideBefore;
    assertTrue(
        narrow >= UNFAIR_SHARE * Math.min(asked, wide),
        "narrow asked " + asked + " and got " + narrow + ", wide got " + wide);
  }

  private static final int SMALL_TEAMS = 24;
  private static final double SMALL_LOAD = 0.01;

  /** Seed, engines, sessions of the team, its load before and after it becomes hot. */
  @DataProvider
  public Object[][] heatedTeams() {
    return new Object[][] {
      {1L, 20, 8, 0.01, 0.1},
      {2L, 20, 8, 0.01, 0.2},
      {3L, 20, 40, 0.005, 0.2},
      {1L, 60, 8, 0.005, 0.1},
      {2L, 60, 40, 0.005, 0.2},
    };
  }

  // Guards against a team that is refused by the rate at which it was served before it asked for
  // more, while a team with far more usage is served.
  @Test(dataProvider = "heatedTeams")
  public void teamThatAsksForMoreIsNotRefusedByItsPast(
      long seed, int engines, int sessions, double loadBefore, double loadAfter) {
    Load load = new Load(seed, engines);
    int asked = 0;
    for (int ms = 0; ms < WARM_UP_MS + MEASURED_MS; ms++) {
      load.submit("wide", WIDE_LOAD, SESSIONS_PER_ENGINE * engines);
      for (int i = 0; i < SMALL_TEAMS; i++) {
        load.submit("small-" + i, SMALL_LOAD, 2);
      }
      boolean hot = ms >= WARM_UP_MS;
      int submitted = load.submit("heated", hot ? loadAfter : loadBefore, sessions);
      asked += hot ? submitted : 0;
      load.fleet.step();
    }

    int refused = load.fleet.sum(router -> router.refused, "heated");
    assertTrue(refused < 0.02 * asked, "refused " + refused + " of " + asked);
  }
}
