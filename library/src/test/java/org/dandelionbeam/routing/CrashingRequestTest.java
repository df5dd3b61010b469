package org.dandelionbeam.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Upstreams crash when they begin to answer one request, which comes again at any router. */
public class CrashingRequestTest {
  private static final int DAY_MS = 40_000;
  private static final int FIRST_CRASHING_MS = 4_000;
  private static final double TOKENS_PER_MS = 41.4;

  /** Time after the third crash from which the request must no longer reach upstreams. */
  private static final int STABLE_MS = 3_000;

  private static final int TOLERATED_REQUESTS = 3;
  private static final int SHARED_SESSIONS = 20;

  /** Callers try again at another router after this time. */
  private static final int CALLER_RETRY_MS = 120;

  private static final RequestDigest CRASHING = new RequestDigest(-1);

  /** Often the same, as a lookup without a body is. */
  private static final RequestDigest FREQUENT = new RequestDigest(-2);

  private static final Set<Decision.RefusalReason> BLAME =
      Set.of(Decision.RefusalReason.PROMPT_BLAMED, Decision.RefusalReason.REQUEST_BLAMED);

  /** What requests consist of. */
  private enum Kind {
    PLAIN {
      @Override
      PromptProfile prompt(Random random) {
        return new PromptProfile(2_500, 1, List.of());
      }
    },
    MODEL {
      @Override
      PromptProfile prompt(Random random) {
        String session = "s" + random.nextInt(SHARED_SESSIONS);
        return SimulatedFleet.prompt(session, 4_000, 2_000, "u" + random.nextInt());
      }
    };

    abstract PromptProfile prompt(Random random);
  }

  /**
   * A day.
   *
   * @param seed seed of the random draws
   * @param kind what requests consist of
   * @param routers number of routers
   * @param upstreams number of upstreams
   * @param everyMs mean time between two arrivals of the crashing request
   * @param otherCrashesPerMinute crashes of other causes
   */
  private record Day(
      long seed, Kind kind, int routers, int upstreams, int everyMs, int otherCrashesPerMinute) {}

  @DataProvider
  public Object[][] days() {
    return new Object[][] {
      {new Day(1, Kind.PLAIN, 8, 3, 4_000, 0)},
      {new Day(2, Kind.PLAIN, 8, 3, 1_000, 0)},
      {new Day(3, Kind.PLAIN, 7, 3, 300, 0)},
      {new Day(4, Kind.PLAIN, 64, 4, 1_000, 6)},
      {new Day(5, Kind.MODEL, 8, 8, 1_000, 0)},
      {new Day(6, Kind.MODEL, 8, 8, 2_000, 20)},
      {new Day(7, Kind.MODEL, 16, 30, 300, 20)},
      {new Day(8, Kind.MODEL, 16, 60, 1_000, 0)},
    };
  }

  // Guards against one request that crashes one upstream after the other.
  @Test(dataProvider = "days")
  public void requestThatCrashesUpstreamsIsNoLongerSent(Day day) {
    Run run = new Run(day);
    run.play();

    List<Long> crashes = run.crashesUnderRequest;
    assertTrue(crashes.size() >= 3, "crashes at " + crashes);
    long bound = crashes.get(2) + STABLE_MS;
    long late = run.fleet.crashes().crashingRequestsMs.stream().filter(at -> at > bound).count();
    assertTrue(
        late <= TOLERATED_REQUESTS,
        late + " requests sent after " + bound + " ms; crashes at " + crashes);
  }

  // Guards against sound requests that are refused since they have a part of their prompt in common
  // with a request that crashes engines, or ran beside it.
  @Test(dataProvider = "days")
  public void soundRequestsBesideACrashingOneAreNotRefused(Day day) {
    Run run = new Run(day);
    run.play();

    long refused =
        run.decisions()
            .filter(decision -> decision instanceof Decision.Refused)
            .map(decision -> (Decision.Refused) decision)
            .filter(decision -> BLAME.contains(decision.reason()))
            .filter(decision -> !isCrashing(decision.ticket()))
            .count();
    assertEquals(refused, 0);
  }

  private static boolean isCrashing(Ticket ticket) {
    return ticket.content().digest().filter(CRASHING::equals).isPresent();
  }

  /** A day that is played. */
  private static final class Run {
    private final Day day;
    private final Random random;
    private final SimulatedFleet fleet;
    private final RequestContent crashing;
    private final List<Long> crashesUnderRequest = new ArrayList<>();
    private final List<Integer> retriesMs = new ArrayList<>();

    Run(Day day) {
      this.day = day;
      random = new Random(day.seed);
      fleet = new SimulatedFleet(day.routers, day.upstreams, TOKENS_PER_MS);
      fleet.crashOn(Suspect.of(CRASHING));
      fleet.repeatBrokenRequests();
      crashing = new RequestContent(Optional.of(CRASHING), day.kind.prompt(random));
    }

    Stream<Decision> decisions() {
      return IntStream.range(0, day.routers)
          .mapToObj(fleet::router)
          .flatMap(router -> router.decisions.stream());
    }

    void play() {
      double soundPerMs = 0.4 * day.upstreams * TOKENS_PER_MS / 2_500;
      for (int ms = 0; ms < DAY_MS; ms++) {
        for (double left = soundPerMs; random.nextDouble() < left; left--) {
          submitSound();
        }
        if (ms >= FIRST_CRASHING_MS && random.nextDouble() < 1.0 / day.everyMs) {
          submit(crashing);
          retriesMs.add(ms + CALLER_RETRY_MS);
        }
        if (retriesMs.remove(Integer.valueOf(ms))) {
          submit(crashing);
        }
        List<InstanceId> running = fleet.runningEngines();
        if (!running.isEmpty() && random.nextDouble() < day.otherCrashesPerMinute / 60_000.0) {
          fleet.crash(running.get(random.nextInt(running.size())));
        }
        fleet.step();
      }
      crashesUnderRequest.addAll(fleet.crashes().crashesUnderRequestsMs);
    }

    private void submitSound() {
      boolean frequent = day.kind == Kind.PLAIN && random.nextInt(4) == 0;
      RequestDigest digest = frequent ? FREQUENT : new RequestDigest(random.nextInt(1 << 20));
      submit(new RequestContent(Optional.of(digest), day.kind.prompt(random)));
    }

    private void submit(RequestContent content) {
      fleet.router(random.nextInt(day.routers)).submit("team", content, 600);
    }
  }
}
