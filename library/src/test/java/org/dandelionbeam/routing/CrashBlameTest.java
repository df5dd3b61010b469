package org.dandelionbeam.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
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

  private static RequestContent prompt(String first, String middle) {
    return RequestContent.ofPrompt(
        new PromptProfile(
            6_000,
            20,
            List.of(
                new PromptProfile.Part(PromptProfile.hashOf(first), 1_500),
                new PromptProfile.Part(PromptProfile.hashOf(middle), 2_500),
                new PromptProfile.Part(PromptProfile.hashOf(first + middle), 2_000))));
  }

  private static Suspect part(String id) {
    return new Suspect(Suspect.Kind.PROMPT_PART, PromptProfile.hashOf(id));
  }

  private static void crash(CrashBlame blame, long atMs, RequestContent... suspects) {
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
    assertEquals(blame.blameNext(1_500 * MS), List.of(part("a")));

    assertTrue(blame.blameOf(prompt("a", "q"), 2_000 * MS).isPresent());
    assertFalse(blame.blameOf(prompt("b", "y"), 2_000 * MS).isPresent());
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
    assertFalse(blame.blameOf(prompt("b", "x"), 9_000 * MS).isPresent());
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

    assertEquals(here.blameNext(2_200 * MS), List.of(part("a")));
    assertEquals(there.recordBlamed(here.blamed(2_300 * MS), 2_400 * MS).size(), 1);
    assertTrue(there.blameOf(prompt("a", "v"), 2_500 * MS).isPresent());
  }

  private static Map<Suspect, CrashCounts> sum(CrashBlame one, CrashBlame other, long nowMs) {
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
    one.recordBlamed(Map.of(part("7"), Duration.ofSeconds(20)), 0);
    for (long ms = 0; ms < 40_000; ms += 100) {
      other.recordBlamed(one.blamed(ms * MS), (ms + 50) * MS);
      one.recordBlamed(other.blamed((ms + 50) * MS), (ms + 100) * MS);
    }

    assertTrue(one.blamed(40_000 * MS).isEmpty());
    assertTrue(other.blamed(40_000 * MS).isEmpty());
  }

  private static RequestContent request(long digest, RequestContent of) {
    return new RequestContent(Optional.of(new RequestDigest(digest)), of.prompt());
  }

  private static RequestContent plain(long digest) {
    return request(digest, RequestContent.ofPrompt(PromptProfile.NONE));
  }

  private static Suspect request(long digest) {
    return new Suspect(Suspect.Kind.REQUEST, digest);
  }

  // Guards against plain requests that crash servers and have nothing that could be blamed.
  @Test
  public void plainRequestIsBlamedAfterThreeCrashes() {
    CrashBlame blame = CrashBlame.create();
    crash(blame, 0, plain(7), plain(1));
    crash(blame, 60, plain(7), plain(2));
    assertTrue(blame.blameNext(60 * MS).isEmpty());
    assertTrue(blame.isSuspicious(plain(7), 60 * MS));
    crash(blame, 200, plain(3), plain(7));

    assertEquals(blame.blameNext(200 * MS), List.of(request(7)));
    Blame found = blame.blameOf(plain(7), 300 * MS).orElseThrow();
    assertEquals(found.suspect().kind().refusalReason(), Decision.RefusalReason.REQUEST_BLAMED);
    assertFalse(blame.blameOf(plain(1), 300 * MS).isPresent());
  }

  // Guards against sound requests that are refused as one request with the same part crashes.
  @Test
  public void requestIsBlamedBeforeThePartsOfItsPrompt() {
    CrashBlame blame = CrashBlame.create();
    IntStream.range(0, 3).forEach(i -> crash(blame, 100 * i, request(7, prompt("a", "x"))));

    assertEquals(blame.blameNext(300 * MS), List.of(request(7)));
    crash(blame, 2_000, request(8, prompt("a", "x")));
    crash(blame, 3_000, request(9, prompt("a", "x")));
    assertTrue(blame.blameNext(3_000 * MS).isEmpty());
  }

  // Guards against a part that goes on crashing engines since one of its requests is blamed.
  @Test
  public void partIsBlamedAfterCrashesUnderThreeRequests() {
    CrashBlame blame = CrashBlame.create();
    crash(blame, 0, request(7, prompt("a", "x")));
    crash(blame, 100, request(7, prompt("a", "x")));
    crash(blame, 1_000, request(8, prompt("a", "y")));
    crash(blame, 2_000, request(9, prompt("a", "z")));

    assertEquals(blame.blameNext(2_000 * MS), List.of(part("a")));
  }

  // Guards against a frequent sound request that runs beside a crashing one wherever it crashes.
  @Test
  public void servedRequestIsNotBlamedWithTheOneThatCrashes() {
    CrashBlame blame = CrashBlame.create();
    IntStream.range(0, 3).forEach(i -> crash(blame, 100 * i, plain(7), plain(1)));
    assertTrue(blame.blameNext(300 * MS).isEmpty());
    blame.recordServed(plain(1), 3_000 * MS);

    assertEquals(blame.blameNext(3_000 * MS), List.of(request(7)));
  }

  @DataProvider
  public Object[][] lossesAtOnce() {
    return new Object[][] {{3}, {6}, {12}, {60}};
  }

  // Guards against a popular request that is refused since it ran on upstreams lost together.
  @Test(dataProvider = "lossesAtOnce")
  public void popularRequestIsNotBlamedForUpstreamsThatAreLostTogether(int upstreams) {
    CrashBlame blame = CrashBlame.create();
    for (int i = 0; i < 600; i++) {
      blame.recordServed(plain(7), 16L * i * MS);
      blame.recordServed(plain(1_000 + i), 16L * i * MS);
    }
    for (int i = 0; i < upstreams; i++) {
      crash(blame, 10_000 + i, plain(7), plain(2_000 + i));
      assertTrue(blame.blameNext((10_000 + i) * MS).isEmpty());
    }
    assertTrue(blame.blameNext(11_500 * MS).isEmpty());
    assertFalse(blame.blameOf(plain(7), 12_000 * MS).isPresent());
  }

  // Guards against a request that is taken for sound since it was served long ago.
  @Test
  public void requestThatWasServedAndCrashesUpstreamsLaterIsBlamed() {
    CrashBlame blame = CrashBlame.create();
    blame.recordServed(plain(7), 0);
    for (int i = 0; i < 6; i++) {
      crash(blame, 10_000 + 500 * i, plain(7), plain(2_000 + i));
    }

    assertEquals(blame.blameNext(12_600 * MS), List.of(request(7)));
  }

  // Guards against reports that grow beyond a datagram when many upstreams are lost at once.
  @Test
  public void sumsOfCrashesAreBoundedAndKeepThoseWithMost() {
    FleetCounters.Sum sum = new FleetCounters.Sum();
    for (int router = 0; router < 50; router++) {
      CrashBlame blame = CrashBlame.create();
      for (int i = 0; i < 60; i++) {
        int id = 1_000 * router + i;
        crash(blame, i, request(id, prompt("a" + id, "b" + id)));
      }
      crash(blame, 70, plain(-7));
      sum.add(new FleetCounters(Map.of(), Map.of(), Map.of(), blame.localCounts(100 * MS)));
    }
    Map<Suspect, CrashCounts> crashes = sum.total().crashes();

    assertTrue(crashes.size() <= 128, "suspects: " + crashes.size());
    assertEquals(crashes.get(request(-7)).crashes(), 50);
  }

  // Guards against memory that callers can fill with parts of their choice.
  @Test
  public void countsAndBlamesAreBounded() {
    CrashBlame blame = CrashBlame.create();
    for (int i = 0; i < 20_000; i++) {
      crash(blame, i, prompt("a" + i, "b" + i));
      blame.recordServed(prompt("c" + i, "d" + i), i * MS);
      blame.recordBlamed(Map.of(part("p" + i), Duration.ofSeconds(60)), i * MS);
    }

    assertTrue(blame.localCounts(20_000 * MS).size() <= 64);
    assertTrue(blame.blamed(20_000 * MS).size() <= 64);
  }
}
