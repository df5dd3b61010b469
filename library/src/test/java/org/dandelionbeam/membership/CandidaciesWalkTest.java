package org.dandelionbeam.membership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.stream.LongStream;
import org.dandelionbeam.base.NodeId;
import org.dandelionbeam.config.Upstream;
import org.dandelionbeam.membership.Departure.Reason;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Random faults on several nodes: the cold limit of every upstream holds all the time, and after
 * the faults end one owner has all slots again.
 */
public class CandidaciesWalkTest {
  private static final long SEEDS = Long.getLong("walk.seeds", 24);
  private static final long FIRST_SEED = Long.getLong("walk.first", 0);
  private static final int STEPS = 4_000;
  private static final int MAX_NODES = 16;

  @DataProvider
  public Object[][] seeds() {
    return LongStream.range(FIRST_SEED, FIRST_SEED + SEEDS)
        .mapToObj(seed -> new Object[] {seed})
        .toArray(Object[][]::new);
  }

  @Test(dataProvider = "seeds")
  public void coldLimitHoldsUnderRandomFaultsAndAllSlotsReturn(long seed) {
    Random random = new Random(seed);
    CandidacyFleet fleet = new CandidacyFleet(random, 3 + random.nextInt(9));
    fleet.run(Duration.ofSeconds(30));
    assertOneOwnerHasAllSlots(fleet, seed);
    for (int step = 0; step < STEPS; step++) {
      if (random.nextInt(40) == 0) {
        injectFault(fleet, random);
      }
      fleet.step();
      check(fleet, seed, step);
    }
    heal(fleet);
    for (int step = 0; step < 1_000; step++) {
      fleet.step();
      check(fleet, seed, STEPS + step);
    }
    assertOneOwnerHasAllSlots(fleet, seed);
  }

  private static void check(CandidacyFleet fleet, long seed, int step) {
    for (Upstream upstream : fleet.upstreams) {
      String at = "seed " + seed + " step " + step + " " + upstream.name();
      assertTrue(fleet.usableCold(upstream) <= upstream.coldLimit(), at + " usable cold");
      assertTrue(fleet.inFlight(upstream) <= upstream.coldLimit(), at + " in flight");
      int transientFactor = fleet.wasSettlementOverdueRecently() ? 2 : 1;
      int warmLimit = transientFactor * upstream.window();
      assertTrue(fleet.usableWarm(upstream) <= warmLimit, at + " usable warm");
    }
  }

  private static void assertOneOwnerHasAllSlots(CandidacyFleet fleet, long seed) {
    for (Upstream upstream : fleet.upstreams) {
      String at = "seed " + seed + " " + upstream.name();
      assertEquals(fleet.usableCold(upstream), upstream.coldLimit(), at + " cold");
      assertEquals(fleet.usableWarm(upstream), upstream.window(), at + " warm");
      long owners =
          fleet.nodes.values().stream().filter(node -> node.slots(upstream).warm() > 0).count();
      assertEquals(owners, 1, at + " owners");
    }
  }

  private static void injectFault(CandidacyFleet fleet, Random random) {
    List<NodeId> ids = List.copyOf(fleet.nodes.keySet());
    NodeId one = ids.get(random.nextInt(ids.size()));
    NodeId other = ids.get(random.nextInt(ids.size()));
    CandidacyFleet.Node node = fleet.nodes.get(one);
    switch (random.nextInt(13)) {
      case 0 -> fleet.blocked.add(List.of(one, other));
      case 1 -> isolate(fleet, one, ids);
      case 2 -> fleet.blocked.clear();
      case 3 -> node.paused = true;
      case 4 -> fleet.nodes.values().forEach(each -> each.paused = false);
      case 5 -> fleet.start(one);
      case 6 -> fleet.platformUp = random.nextBoolean();
      case 7 -> fleet.leave(one, Reason.QUIET);
      case 8 -> replaceNode(fleet, one, ids.size());
      case 9 -> fleet.lossRate = random.nextDouble() * 0.3;
      case 10 -> fleet.maxDelayNanos = 1 + random.nextLong(Duration.ofMillis(1_500).toNanos());
      case 11 -> addNode(fleet, ids.size());
      default -> toggleReachability(node, other);
    }
  }

  private static void addNode(CandidacyFleet fleet, int size) {
    if (size < MAX_NODES) {
      fleet.start(NodeId.of("j" + fleet.incarnations + "-" + size % 10));
    }
  }

  private static void toggleReachability(CandidacyFleet.Node node, NodeId other) {
    if (!node.unreachable.remove(other)) {
      node.unreachable.add(other);
    }
  }

  private static void isolate(CandidacyFleet fleet, NodeId one, List<NodeId> ids) {
    ids.forEach(other -> fleet.blocked.add(List.of(one, other)));
    ids.forEach(other -> fleet.blocked.add(List.of(other, one)));
  }

  private static void replaceNode(CandidacyFleet fleet, NodeId gone, int size) {
    if (fleet.platformUp) {
      fleet.kill(gone);
      fleet.leave(gone, Reason.GONE);
      fleet.start(NodeId.of("r" + fleet.incarnations + "-" + size % 10));
    }
  }

  private static void heal(CandidacyFleet fleet) {
    fleet.blocked.clear();
    fleet.platformUp = true;
    fleet.lossRate = 0;
    fleet.maxDelayNanos = Duration.ofMillis(20).toNanos();
    fleet.nodes.values().forEach(node -> node.paused = false);
    fleet.nodes.values().forEach(node -> node.unreachable.clear());
  }
}
