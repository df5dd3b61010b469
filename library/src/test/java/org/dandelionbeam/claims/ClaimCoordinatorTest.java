package org.dandelionbeam.claims;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.dandelionbeam.base.Verdict;
import org.dandelionbeam.claims.FaultyBucketStore.Fault;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Runs two nodes against a store whose calls fail in every way: before, after or long after taking
 * effect, by a conflict or by a stale read. A key must never be won twice, nor stay claimed by a
 * claim that was refused.
 */
public class ClaimCoordinatorTest {
  private static final ClaimKey KEY = ClaimNode.key(1);
  private static final ClaimResult CLAIMED = new ClaimResult.Claimed();
  private static final long NANOS_PER_MILLI = 1_000_000L;

  private FaultyBucketStore store;
  private ClaimNode one;
  private ClaimNode two;
  private long nanos;
  private long epochSeconds;

  @BeforeMethod
  public void setUp() {
    store = new FaultyBucketStore();
    one = new ClaimNode(store, 1);
    two = new ClaimNode(store, 2);
    nanos = 0;
    epochSeconds = 1_000_000;
  }

  @Test
  public void aFreeKeyIsClaimedByOneReadAndOneWrite() {
    long claim = one.claim(KEY, now());
    one.tick(now());
    one.perform(Fault.NONE, now());
    assertNull(one.answer(claim), "no answer before the write is confirmed");
    one.perform(Fault.NONE, now());
    assertEquals(one.answer(claim), CLAIMED);
    assertFalse(one.hasCalls());
  }

  @Test
  public void claimsOfOneBucketShareOneWrite() {
    List<Long> claims =
        IntStream.range(0, 50).mapToObj(i -> one.claim(ClaimNode.key(i), now())).toList();
    one.settle(now());
    claims.forEach(claim -> assertEquals(one.answer(claim), CLAIMED));
    assertEquals(store.writes(), 2, "one write for each of the two buckets");
  }

  @DataProvider
  Object[][] readAndSwapFaults() {
    return Stream.of(Fault.values())
        .flatMap(read -> Stream.of(Fault.values()).map(swap -> new Object[] {read, swap}))
        .toArray(Object[][]::new);
  }

  @Test(dataProvider = "readAndSwapFaults")
  public void aFaultOfTheStoreDoesNotLoseOrDuplicateTheClaim(Fault read, Fault swap) {
    long claim = one.claim(KEY, now());
    one.tick(now());
    one.perform(read, now());
    if (one.hasCalls()) {
      one.perform(swap, now());
    }
    settleFor(one, 1_000);
    assertEquals(one.answer(claim), CLAIMED);
    long second = two.claim(KEY, now());
    settleFor(two, 100);
    assertEquals(two.answer(second), new ClaimResult.AlreadyClaimed(Optional.empty()));
    store.applyLateWrites();
    assertEquals(entryCount(), 1);
  }

  @Test(dataProvider = "readAndSwapFaults")
  public void ofTwoRacingNodesExactlyOneWins(Fault read, Fault swap) {
    long first = one.claim(KEY, now());
    long second = two.claim(KEY, now());
    one.tick(now());
    two.tick(now());
    one.perform(read, now());
    two.perform(Fault.NONE, now());
    if (one.hasCalls()) {
      one.perform(swap, now());
    }
    two.perform(Fault.NONE, now());
    for (int i = 0; i < 10; i++) {
      settleFor(one, 100);
      settleFor(two, 100);
    }
    boolean firstWon = CLAIMED.equals(one.answer(first));
    boolean secondWon = CLAIMED.equals(two.answer(second));
    assertTrue(firstWon != secondWon, one.answer(first) + " and " + two.answer(second));
  }

  @DataProvider
  Object[][] outcomes() {
    return new Object[][] {
      {Verdict.RAN, 201, new ClaimResult.AlreadyClaimed(outcome(true, 201))},
      {Verdict.MAY_HAVE_RUN, 502, new ClaimResult.AlreadyClaimed(outcome(false, 502))},
      {Verdict.NOT_RUN, 503, CLAIMED},
    };
  }

  @Test(dataProvider = "outcomes")
  public void aSecondRequestGetsTheOutcomeOfTheFirst(
      Verdict verdict, int status, ClaimResult expected) {
    one.claim(KEY, now());
    one.settle(now());
    one.coordinator().finished(KEY, verdict, status, now());
    settleFor(one, 2_000);
    long second = two.claim(KEY, now());
    settleFor(two, 100);
    assertEquals(two.answer(second), expected);
  }

  @Test
  public void outcomesWaitForOtherWritesUnlessTheNodeStops() {
    one.claim(KEY, now());
    one.settle(now());
    one.coordinator().finished(KEY, Verdict.RAN, 200, now());
    one.settle(now());
    assertEquals(store.writes(), 1);
    one.coordinator().flush();
    one.settle(now());
    assertEquals(store.writes(), 2);
  }

  @Test
  public void aSecondRequestOnTheSameNodeWaitsForTheFirstClaim() {
    long first = one.claim(KEY, now());
    long second = one.claim(KEY, now());
    one.settle(now());
    assertEquals(one.answer(first), CLAIMED);
    assertNull(one.answer(second));
    settleFor(one, 10);
    assertEquals(one.answer(second), new ClaimResult.AlreadyClaimed(Optional.empty()));
  }

  @DataProvider
  Object[][] pauses() {
    return new Object[][] {{100, true}, {2_000, true}, {2_001, false}, {60_000, false}};
  }

  @Test(dataProvider = "pauses")
  public void aPausedNodeDoesNotRelyOnALateConfirmation(int millis, boolean holds) {
    long claim = one.claim(KEY, now());
    one.tick(now());
    one.perform(Fault.NONE, now());
    advance(millis);
    one.perform(Fault.NONE, now());
    assertEquals(CLAIMED.equals(one.answer(claim)), holds);
    settleFor(one, 100);
    long retry = two.claim(KEY, now());
    settleFor(two, 100);
    assertEquals(CLAIMED.equals(two.answer(retry)), !holds, "a refused claim releases the key");
  }

  @Test(dataProvider = "lateEffects")
  public void aRefusedClaimWhoseWriteTakesEffectLaterReleasesTheKey(
      Fault fault, boolean takesEffectBeforeTheUndo) {
    long claim = one.claim(KEY, now());
    one.tick(now());
    one.perform(Fault.NONE, now());
    one.perform(fault, now());
    advance(3_000);
    one.tick(now());
    assertTrue(one.answer(claim) instanceof ClaimResult.Unavailable);
    if (takesEffectBeforeTheUndo) {
      store.applyLateWrites();
    }
    settleFor(one, 2_000);
    store.applyLateWrites();
    long retry = two.claim(KEY, now());
    settleFor(two, 100);
    assertEquals(two.answer(retry), CLAIMED);
  }

  @DataProvider
  Object[][] lateEffects() {
    return new Object[][] {
      {Fault.LOST_AFTER_EFFECT, true},
      {Fault.LOST_AND_EFFECT_LATER, true},
      {Fault.LOST_AND_EFFECT_LATER, false},
    };
  }

  @Test
  public void duringAnOutageClaimsAreRefusedAtOnceAndAProbeDetectsItsEnd() {
    for (int i = 0; i < 3; i++) {
      one.claim(ClaimNode.key(i), now());
      advance(1_000);
      one.tick(now());
      while (one.hasCalls()) {
        one.perform(Fault.LOST_BEFORE_EFFECT, now());
      }
    }
    assertTrue(one.coordinator().isStoreUnavailable());
    long refused = one.claim(KEY, now());
    assertTrue(one.answer(refused) instanceof ClaimResult.Unavailable);
    advance(1_000);
    long probe = one.claim(KEY, now());
    settleFor(one, 100);
    assertEquals(one.answer(probe), CLAIMED);
    assertFalse(one.coordinator().isStoreUnavailable());
  }

  @Test
  public void expiredClaimsAreRemovedByTheNextWrite() {
    one.claim(KEY, now());
    one.settle(now());
    epochSeconds += 25 * 3_600;
    long claim = two.claim(KEY, now());
    settleFor(two, 100);
    assertEquals(two.answer(claim), CLAIMED);
    assertEquals(entryCount(), 1);
  }

  private static Optional<ClaimResult.Outcome> outcome(boolean ran, int status) {
    return Optional.of(new ClaimResult.Outcome(ran, status));
  }

  private int entryCount() {
    return store.value(0).entries().size() + store.value(1).entries().size();
  }

  private void settleFor(ClaimNode node, int millis) {
    for (int elapsed = 0; elapsed < millis; elapsed += 10) {
      advance(10);
      node.settle(now());
    }
  }

  private void advance(int millis) {
    nanos += millis * NANOS_PER_MILLI;
  }

  private ClaimTime now() {
    return new ClaimTime(nanos, epochSeconds);
  }
}
