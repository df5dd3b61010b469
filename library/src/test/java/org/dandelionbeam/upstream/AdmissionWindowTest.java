package org.dandelionbeam.upstream;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Optional;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.dandelionbeam.dispatch.DispatchPort.Outcome;
import org.dandelionbeam.membership.WindowState;
import org.dandelionbeam.upstream.SimulatedUpstream.Load;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Runs an {@link AdmissionWindow} against a simulated upstream in simulated time. */
public class AdmissionWindowTest {
  private static final int WARM_LIMIT = 32;
  private static final int COLD_LIMIT = 2;
  private static final int SEEDS = 20;
  private static final int MAX_COMPLETIONS = 600;

  /** Ways in which a warm upstream can become cold. */
  enum ColdCause {
    RESTARTED_BY_BOOT_ID {
      @Override
      void apply(SimulatedUpstream upstream) {
        upstream.setSlowdown(8);
        upstream.report(false, 2);
      }
    },
    RESTARTED_UNREACHABLE {
      @Override
      void apply(SimulatedUpstream upstream) {
        upstream.setSlowdown(8);
        upstream.endOne(Outcome.UNREACHABLE);
      }
    },
    REPORTED {
      @Override
      void apply(SimulatedUpstream upstream) {
        upstream.setSlowdown(8);
        upstream.report(true, 1);
      }
    },
    SLOW_WITHOUT_WARNING {
      @Override
      void apply(SimulatedUpstream upstream) {
        upstream.setSlowdown(8);
        upstream.replaceAndEndSlowRequests(8);
      }
    },
    SILENT_WITHOUT_WARNING {
      @Override
      void apply(SimulatedUpstream upstream) {
        upstream.setSlowdown(8);
        upstream.stayIdle(60);
        upstream.startOne();
      }
    };

    abstract void apply(SimulatedUpstream upstream);
  }

  @DataProvider
  Object[][] coldCauses() {
    return Stream.of(ColdCause.values())
        .flatMap(cause -> IntStream.range(0, SEEDS).mapToObj(seed -> new Object[] {cause, seed}))
        .toArray(Object[][]::new);
  }

  @Test(dataProvider = "coldCauses")
  public void aColdUpstreamDropsAtOnceAndGrowsInStepsOnCompletedWork(ColdCause cause, int seed) {
    SimulatedUpstream upstream = SimulatedUpstream.warmedUp(WARM_LIMIT, COLD_LIMIT, seed);
    assertEquals(
        upstream.window().limit(),
        WARM_LIMIT,
        "the window is fully open before the upstream becomes cold");

    cause.apply(upstream);

    assertTrue(upstream.window().isCold());
    assertEquals(upstream.window().limit(), COLD_LIMIT);
    upstream.run(30);
    assertTrue(upstream.window().isCold(), "an upstream that stays slow stays cold");
    upstream.setSlowdown(1);
    upstream.report(false, 2);
    assertTrue(
        upstream.runUntilFull(MAX_COMPLETIONS) < MAX_COMPLETIONS, "full use after completed work");
    assertTrue(upstream.largestStepShare() <= 0.5);
  }

  @Test
  public void anUnknownUpstreamStartsCold() {
    AdmissionWindow window = AdmissionWindow.of(WARM_LIMIT, COLD_LIMIT, Optional.empty());
    assertTrue(window.isCold());
    assertEquals(window.limit(), COLD_LIMIT);
    assertEquals(window.state(), new WindowState(true, COLD_LIMIT));
  }

  @Test(dataProvider = "seeds")
  public void aNewUpstreamThatReportsNothingStaysColdWhileItsLatencyFalls(int seed) {
    SimulatedUpstream upstream =
        SimulatedUpstream.withoutReports(WARM_LIMIT, COLD_LIMIT, Load.TOKENS, seed);
    for (double slowdown = 8; slowdown > 1.5; slowdown *= 0.95) {
      upstream.setSlowdown(slowdown);
      upstream.run(1);
      assertTrue(upstream.window().isCold(), "slowed down by " + slowdown);
    }
    upstream.setSlowdown(1);
    assertTrue(
        upstream.runUntilFull(MAX_COMPLETIONS) < MAX_COMPLETIONS, "full use after completed work");
  }

  @Test
  public void unusedGrantsDoNotAllowAnotherCut() {
    SimulatedUpstream upstream = SimulatedUpstream.warmedUp(WARM_LIMIT, COLD_LIMIT, 2);
    upstream.endOne(Outcome.OVERLOADED);
    int afterFirst = upstream.window().limit();
    upstream.window().started(upstream.now());
    upstream.window().ended(Outcome.ABANDONED, 0, 0, 0, upstream.now());
    upstream.endOne(Outcome.OVERLOADED);
    assertEquals(upstream.window().limit(), afterFirst);
  }

  @Test
  public void anInheritedWindowIsKeptWithinTheLimits() {
    Optional<WindowState> large = Optional.of(new WindowState(false, WARM_LIMIT + 5));
    assertEquals(AdmissionWindow.of(WARM_LIMIT, COLD_LIMIT, large).limit(), WARM_LIMIT);
    Optional<WindowState> stillCold = Optional.of(new WindowState(true, WARM_LIMIT));
    assertEquals(AdmissionWindow.of(WARM_LIMIT, COLD_LIMIT, stillCold).limit(), COLD_LIMIT);
  }

  @DataProvider
  Object[][] harmlessCompletions() {
    return new Object[][] {
      {"long generation", 20_000.0, 100_000_000L, 200_000_000_000L},
      {"long prompt", 20_000.0, 9_000_000_000L, 10_000_000_000L},
      {"one slow answer", 100.0, 9_000_000_000L, 90_000_000_000L},
    };
  }

  @Test(dataProvider = "harmlessCompletions")
  public void oneLongRequestDoesNotMakeTheUpstreamCold(
      String name, double cost, long firstByteNanos, long elapsedNanos) {
    SimulatedUpstream upstream = SimulatedUpstream.warmedUp(WARM_LIMIT, COLD_LIMIT, 1);
    AdmissionWindow window = upstream.window();
    window.started(upstream.now());
    window.ended(Outcome.ANSWERED, cost, firstByteNanos, elapsedNanos, upstream.now());
    assertFalse(window.isCold(), name);
    assertEquals(window.limit(), WARM_LIMIT, name);
  }

  @DataProvider
  Object[][] loads() {
    return Stream.of(Load.values())
        .flatMap(load -> IntStream.range(0, SEEDS).mapToObj(seed -> new Object[] {load, seed}))
        .toArray(Object[][]::new);
  }

  @Test(dataProvider = "loads")
  public void mixedRequestsOnAHealthyUpstreamOpenTheWindowAndKeepItOpen(Load load, int seed) {
    SimulatedUpstream upstream = SimulatedUpstream.of(WARM_LIMIT, COLD_LIMIT, load, seed);
    assertTrue(upstream.runUntilFull(MAX_COMPLETIONS) < MAX_COMPLETIONS, "the window opens fully");
    for (int i = 0; i < 2_000; i++) {
      upstream.run(1);
      assertFalse(upstream.window().isCold(), "completion " + i);
      assertTrue(upstream.window().limit() > WARM_LIMIT / 2, "completion " + i);
    }
  }

  @Test(dataProvider = "loads")
  public void aSuddenSlowdownIsDetectedWithinAFewCompletions(Load load, int seed) {
    SimulatedUpstream upstream = SimulatedUpstream.of(WARM_LIMIT, COLD_LIMIT, load, seed);
    upstream.run(MAX_COMPLETIONS);
    upstream.setSlowdown(10);
    upstream.run(WARM_LIMIT);
    int maxCompletions = load == Load.TOKENS ? 16 : 64;
    int completions = 0;
    while (!upstream.window().isCold() && completions < maxCompletions) {
      upstream.run(1);
      completions++;
    }
    assertTrue(upstream.window().isCold(), "still warm after " + completions);
  }

  @Test
  public void overloadCutsOncePerRoundAndHaltsGrowth() {
    SimulatedUpstream upstream = SimulatedUpstream.warmedUp(WARM_LIMIT, COLD_LIMIT, 2);
    upstream.endOne(Outcome.OVERLOADED);
    int afterFirst = upstream.window().limit();
    upstream.endOne(Outcome.OVERLOADED);
    assertTrue(afterFirst < WARM_LIMIT);
    assertEquals(upstream.window().limit(), afterFirst, "both requests started before the cut");
    assertFalse(upstream.window().isCold());
  }

  @Test
  public void aReportedQueueHaltsGrowth() {
    SimulatedUpstream upstream = SimulatedUpstream.of(WARM_LIMIT, COLD_LIMIT, Load.TOKENS, 3);
    upstream.run(40);
    int before = upstream.window().limit();
    upstream.window().reported(new LoadReport(before, 1, false, 1), upstream.now());
    upstream.run(40);
    assertEquals(upstream.window().limit(), before);
  }

  @Test
  public void requestsOfOtherNodesReduceTheLimit() {
    SimulatedUpstream upstream = SimulatedUpstream.warmedUp(WARM_LIMIT, COLD_LIMIT, 4);
    upstream.window().reported(new LoadReport(WARM_LIMIT + 10, 0, false, 1), upstream.now());
    upstream.window().reported(new LoadReport(WARM_LIMIT + 10, 0, false, 1), upstream.now());
    assertEquals(upstream.window().limit(), WARM_LIMIT - 10);
    upstream.window().reported(new LoadReport(10 * WARM_LIMIT, 0, false, 1), upstream.now());
    assertEquals(upstream.window().limit(), 1);
  }

  @Test(dataProvider = "seeds")
  public void anySequenceOfEventsKeepsTheWindowWithinItsLimits(int seed) {
    SimulatedUpstream upstream = SimulatedUpstream.of(WARM_LIMIT, COLD_LIMIT, Load.TOKENS, seed);
    for (int i = 0; i < 2_000; i++) {
      upstream.randomStep();
      AdmissionWindow window = upstream.window();
      assertTrue(window.limit() >= 1 && window.limit() <= WARM_LIMIT);
      assertTrue(!window.isCold() || window.limit() <= COLD_LIMIT);
    }
  }

  @DataProvider
  Object[][] seeds() {
    return IntStream.range(0, SEEDS).mapToObj(seed -> new Object[] {seed}).toArray(Object[][]::new);
  }
}
