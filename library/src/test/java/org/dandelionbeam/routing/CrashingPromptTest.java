package org.dandelionbeam.routing;

import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Random;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Engines crash when they begin to answer a request with one part in its prompt. */
public class CrashingPromptTest {
  private static final int DAY_MS = 30_000;
  private static final int FIRST_CRASHING_MS = 4_000;
  private static final double TOKENS_PER_MS = 41.4;

  /** Time after the fifth crash from which requests with the part must no longer reach engines. */
  private static final int STABLE_MS = 3_000;

  private static final int TOLERATED_REQUESTS = 3;

  /** Where in the prompt the part stands. */
  private enum Place {
    FIRST,
    MIDDLE
  }

  @DataProvider
  public Object[][] days() {
    return new Object[][] {
      {1L, 8, 8, Place.FIRST, 5},
      {2L, 8, 8, Place.MIDDLE, 5},
      {3L, 8, 8, Place.MIDDLE, 1},
      {4L, 16, 30, Place.FIRST, 10},
      {5L, 16, 30, Place.MIDDLE, 10},
      {6L, 16, 60, Place.FIRST, 3},
    };
  }

  // Guards against requests whose prompts crash one engine after the other.
  @Test(dataProvider = "days")
  public void promptPartThatCrashesEnginesIsNoLongerSent(
      long seed, int routers, int engines, Place place, int crashingPerSecond) {
    SimulatedFleet fleet = new SimulatedFleet(routers, engines, TOKENS_PER_MS);
    fleet.crashOn(new Suspect(Suspect.Kind.PROMPT_PART, PromptProfile.hashOf("crashing")));
    Random random = new Random(seed);
    double soundPerMs = 0.5 * engines * TOKENS_PER_MS / 2_000;
    for (int ms = 0; ms < DAY_MS; ms++) {
      for (double left = soundPerMs; random.nextDouble() < left; left--) {
        submit(fleet, random, "f" + random.nextInt(4), "s" + random.nextInt(12 * engines));
      }
      if (ms >= FIRST_CRASHING_MS && random.nextDouble() < crashingPerSecond / 1_000.0) {
        String first = place == Place.FIRST ? "crashing" : "f" + random.nextInt(4);
        String middle = place == Place.MIDDLE ? "crashing" : "s" + random.nextInt(12 * engines);
        submit(fleet, random, first, middle);
      }
      fleet.step();
    }

    List<Long> crashes = fleet.crashes().crashesMs;
    if (crashes.size() < 5) {
      return;
    }
    long bound = crashes.get(4) + STABLE_MS;
    long late = fleet.crashes().crashingRequestsMs.stream().filter(at -> at > bound).count();
    assertTrue(
        late <= TOLERATED_REQUESTS,
        late + " requests sent after " + bound + " ms; crashes at " + crashes);
  }

  private static void submit(SimulatedFleet fleet, Random random, String first, String middle) {
    PromptProfile prompt =
        new PromptProfile(
            6_000,
            20,
            List.of(
                new PromptProfile.Part(PromptProfile.hashOf(first), 1_500),
                new PromptProfile.Part(PromptProfile.hashOf(middle), 2_500),
                new PromptProfile.Part(PromptProfile.hashOf("u" + random.nextLong()), 2_000)));
    fleet.router(random.nextInt(fleet.routerCount())).submit("team", prompt, 600);
  }
}
