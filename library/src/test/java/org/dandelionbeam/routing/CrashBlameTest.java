package org.dandelionbeam.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.dandelionbeam.routing.CrashingPartsModel.Result;
import org.dandelionbeam.routing.CrashingPartsModel.Settings;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Which parts of prompts are blamed for crashes, and for how long. */
public class CrashBlameTest {
  private static final long MS = 1_000_000L;
  private static final int RUNS = 1_000;
  private static final int RUNS_PER_ROW = 100;

  /** Requests with a crashing part that may still be sent later than three seconds after. */
  private static final int TOLERATED_REQUESTS = 3;

  private static PromptProfile prompt(String first, String middle) {
    return new PromptProfile(
        6_000,
        20,
        List.of(
            new PromptProfile.Part(PromptProfile.hashOf(first), 1_500),
            new PromptProfile.Part(PromptProfile.hashOf(middle), 2_500),
            new PromptProfile.Part(PromptProfile.hashOf(first + middle), 2_000)));
  }

  private static void crash(CrashBlame blame, long atMs, PromptProfile... suspects) {
    blame.recordCrash(List.of(suspects), atMs * MS);
  }

  @DataProvider
  public Object[][] runs() {
    return LongStream.range(0, RUNS / RUNS_PER_ROW)
        .mapToObj(i -> new Object[] {RUNS_PER_ROW * i})
        .toArray(Object[][]::new);
  }

  // Guards against crashing parts that are found late, whatever else crashes engines. Many runs a
  // row.
  @Test(dataProvider = "runs")
  public void crashingPartsAreBlamedWithinThreeSecondsOfTheFifthCrash(long firstSeed) {
    assertNone(firstSeed, result -> result.lateAfterThreeSeconds() > TOLERATED_REQUESTS);
  }

  // Guards against sound parts that are blamed as they come with crashing ones, or by chance.
  @Test(dataProvider = "runs", groups = "known-red")
  public void soundRequestsAreNotRefused(long firstSeed) {
    assertNone(firstSeed, result -> result.soundRefused() > 0);
  }

  private static void assertNone(long firstSeed, Predicate<Result> fails) {
    List<String> failures = new ArrayList<>();
    for (long seed = firstSeed; seed < firstSeed + RUNS_PER_ROW; seed++) {
      Settings settings = Settings.of(seed);
      Result result = CrashingPartsModel.play(settings);
      if (fails.test(result)) {
        failures.add(settings + " " + result + System.lineSeparator());
      }
    }
    assertTrue(failures.isEmpty(), failures.size() + " of " + RUNS_PER_ROW + ": " + failures);
  }

  @Test
  public void partIsBlamedAfterThreeCrashesThatHaveNoOtherInCommon() {
    CrashBlame blame = CrashBlame.create();
    crash(blame, 0, prompt("a", "x"), prompt("b", "y"));
    crash(blame, 1_000, prompt("a", "z"));
    assertTrue(blame.blameNext(1_000 * MS).isEmpty());
    crash(blame, 1_500, prompt("a", "w"), prompt("c", "y"));
    assertEquals(blame.blameNext(1_500 * MS), List.of(PromptProfile.hashOf("a")));

    assertTrue(blame.remainingBlame(prompt("a", "q"), 2_000 * MS).isPresent());
    assertFalse(blame.remainingBlame(prompt("b", "y"), 2_000 * MS).isPresent());
  }

  @Test
  public void servedRequestClearsTheCrashesBeforeIt() {
    CrashBlame blame = CrashBlame.create();
    crash(blame, 0, prompt("a", "x"));
    crash(blame, 1_000, prompt("a", "y"));
    blame.recordServed(prompt("a", "z"), 1_200 * MS);
    crash(blame, 5_000, prompt("a", "w"));

    assertTrue(blame.blameNext(5_000 * MS).isEmpty());
    assertFalse(blame.isSuspicious(prompt("a", "v"), 5_000 * MS));
  }

  // Guards against a sound part that is blamed as its engines were lost together.
  @Test
  public void enginesThatAreLostTogetherBlameNoPartThatWasServedBefore() {
    CrashBlame blame = CrashBlame.create();
    blame.recordServed(prompt("a", "x"), 0);
    IntStream.range(0, 6).forEach(i -> crash(blame, 500 + i, prompt("a", "x")));

    assertTrue(blame.blameNext(600 * MS).isEmpty());
  }

  // Guards against parts that a crashing one drags along.
  @Test
  public void crashUnderABlamedPartCountsAgainstNoOther() {
    CrashBlame blame = CrashBlame.create();
    crash(blame, 0, prompt("a", "x"));
    crash(blame, 1_000, prompt("a", "x"));
    crash(blame, 2_000, prompt("a", "y"));
    blame.blameNext(2_000 * MS);
    IntStream.range(3, 9).forEach(i -> crash(blame, 1_000L * i, prompt("a", "x")));

    assertTrue(blame.blameNext(9_000 * MS).isEmpty());
    assertFalse(blame.remainingBlame(prompt("b", "x"), 9_000 * MS).isPresent());
  }

  // Guards against schedulers that see one crash each and blame nothing.
  @Test
  public void crashesAtSeveralSchedulersAddUp() {
    CrashBlame here = CrashBlame.create();
    CrashBlame there = CrashBlame.create();
    crash(here, 0, prompt("a", "x"));
    crash(there, 1_000, prompt("a", "y"));
    crash(there, 2_000, prompt("a", "z"));
    here.recordTotal(sum(here, there, 2_100), 2_200 * MS);

    assertEquals(here.blameNext(2_200 * MS), List.of(PromptProfile.hashOf("a")));
    assertEquals(there.recordBlamed(here.blamed(2_300 * MS), 2_400 * MS).size(), 1);
    assertTrue(there.remainingBlame(prompt("a", "v"), 2_500 * MS).isPresent());
  }

  private static Map<Long, CrashCounts> sum(CrashBlame one, CrashBlame other, long nowMs) {
    FleetCounters.Sum sum = new FleetCounters.Sum();
    sum.add(new FleetCounters(Map.of(), Map.of(), Map.of(), one.localCounts(nowMs * MS)));
    sum.add(new FleetCounters(Map.of(), Map.of(), Map.of(), other.localCounts(nowMs * MS)));
    return sum.total().crashes();
  }

  // Guards against two routers that keep a blame alive by telling each other of it.
  @Test
  public void blameEndsAlthoughRoutersRepeatIt() {
    CrashBlame one = CrashBlame.create();
    CrashBlame other = CrashBlame.create();
    one.recordBlamed(Map.of(7L, Duration.ofSeconds(20)), 0);
    for (long ms = 0; ms < 40_000; ms += 100) {
      other.recordBlamed(one.blamed(ms * MS), (ms + 50) * MS);
      one.recordBlamed(other.blamed((ms + 50) * MS), (ms + 100) * MS);
    }

    assertTrue(one.blamed(40_000 * MS).isEmpty());
    assertTrue(other.blamed(40_000 * MS).isEmpty());
  }

  // Guards against memory that callers can fill with parts of their choice.
  @Test
  public void countsAndBlamesAreBounded() {
    CrashBlame blame = CrashBlame.create();
    for (int i = 0; i < 20_000; i++) {
      crash(blame, i, prompt("a" + i, "b" + i));
      blame.recordServed(prompt("c" + i, "d" + i), i * MS);
      blame.recordBlamed(Map.of((long) i, Duration.ofSeconds(60)), i * MS);
    }

    assertTrue(blame.localCounts(20_000 * MS).size() <= 64);
    assertTrue(blame.blamed(20_000 * MS).size() <= 64);
  }
}
