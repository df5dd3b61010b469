package org.dandelionbeam.claims;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.dandelionbeam.base.Verdict;
import org.dandelionbeam.claims.FaultyBucketStore.Fault;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Lets three nodes compete for a few keys in a random walk with faults of the store, pauses and
 * restarts. Guards against keys that run twice and keys that can never be claimed again.
 */
public class ClaimRandomWalkTest {
  private static final int NODES = 3;
  private static final int KEYS = 12;
  private static final int STEPS = 3_000;
  private static final int SEEDS = 60;
  private static final long NANOS_PER_MILLI = 1_000_000L;

  @DataProvider
  Object[][] seeds() {
    return IntStream.range(0, SEEDS).mapToObj(seed -> new Object[] {seed}).toArray(Object[][]::new);
  }

  @Test(dataProvider = "seeds")
  public void aKeyRunsAtMostOnceAndKeysStayUsable(int seed) {
    Walk walk = new Walk(seed);
    for (int i = 0; i < STEPS; i++) {
      walk.step();
    }
    walk.endFaultsAndVerify();
    walk.runs.forEach((key, runs) -> assertEquals(runs, Integer.valueOf(1), "seed " + seed));
    assertTrue(walk.runs.size() > 1, "some keys ran");
  }

  /** State of one random walk. */
  private static final class Walk {
    private final SplittableRandom random;
    private final FaultyBucketStore store = new FaultyBucketStore();
    private final List<ClaimNode> nodes = new ArrayList<>();
    private final Map<ClaimKey, Integer> runs = new HashMap<>();
    private long nanos;

    Walk(int seed) {
      random = new SplittableRandom(seed);
      for (int i = 0; i < NODES; i++) {
        nodes.add(newNode());
      }
    }

    void step() {
      int index = random.nextInt(NODES);
      ClaimNode node = nodes.get(index);
      nanos += random.nextInt(40) * NANOS_PER_MILLI;
      switch (random.nextInt(20)) {
        case 0, 1, 2, 3 -> node.claim(ClaimNode.key(random.nextInt(KEYS)), now());
        case 4 -> store.applyLateWrites();
        case 5 -> nanos += random.nextInt(4_000) * NANOS_PER_MILLI;
        case 6 -> restartSometimes(index);
        case 7, 8, 9, 10 -> node.tick(now());
        default -> {
          if (node.hasCalls()) {
            node.perform(fault(), now());
          }
        }
      }
      finishWonClaims(node);
    }

    /**
     * Ends all faults, and checks that all nodes finish their work and a new key can be claimed.
     */
    void endFaultsAndVerify() {
      store.applyLateWrites();
      for (int i = 0; i < 2_000; i++) {
        nanos += 10 * NANOS_PER_MILLI;
        for (ClaimNode node : nodes) {
          node.settle(now());
          finishWonClaims(node);
        }
      }
      nodes.forEach(node -> assertFalse(node.coordinator().hasWork()));
      ClaimNode node = nodes.get(0);
      long claim = node.claim(ClaimNode.key(KEYS + 1), now());
      node.settle(now());
      assertTrue(node.answer(claim) instanceof ClaimResult.Claimed);
    }

    /**
     * Ends the requests whose claims a node has won. Nine of ten run, and half of these record
     * their outcome; the others release their key as not run.
     */
    private void finishWonClaims(ClaimNode node) {
      for (ClaimKey key : node.takeNewlyWon()) {
        boolean runsNow = random.nextInt(10) > 0;
        if (runsNow) {
          runs.merge(key, 1, Integer::sum);
        }
        Verdict verdict = runsNow ? Verdict.RAN : Verdict.NOT_RUN;
        if (!runsNow || random.nextBoolean()) {
          node.coordinator().finished(key, verdict, 200, now());
        }
      }
    }

    private void restartSometimes(int index) {
      if (random.nextInt(5) == 0) {
        nodes.set(index, newNode());
      }
    }

    private ClaimNode newNode() {
      return new ClaimNode(store, random.nextLong());
    }

    private Fault fault() {
      Fault[] faults = Fault.values();
      return random.nextInt(3) > 0 ? Fault.NONE : faults[random.nextInt(faults.length)];
    }

    private ClaimTime now() {
      return new ClaimTime(nanos, nanos / 1_000 / NANOS_PER_MILLI);
    }
  }
}
