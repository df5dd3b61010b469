package org.dandelionbeam.membership;

import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.stream.LongStream;
import org.dandelionbeam.base.FailureDomain;
import org.dandelionbeam.base.NodeId;
import org.dandelionbeam.config.Upstream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Random faults on a fleet with all parts of membership: failure detection, roster, settling and
 * loans. The cold limit of every upstream holds all the time, and all slots are usable again
 * afterwards.
 */
public class MembershipWalkTest {
  private static final long FIRST_SEED = Long.getLong("walk.first", 0);
  private static final long SEEDS = Long.getLong("walk.seeds", 8);
  private static final int FAULTS = 40;
  private static final int UPSTREAMS = 6;

  @DataProvider
  public Object[][] seeds() {
    return LongStream.range(FIRST_SEED, FIRST_SEED + SEEDS)
        .mapToObj(seed -> new Object[] {seed})
        .toArray(Object[][]::new);
  }

  @Test(dataProvider = "seeds")
  public void coldLimitHoldsUnderRandomFaultsAndTheFleetRecovers(long seed) {
    Random random = new Random(seed);
    MembershipFleet fleet = new MembershipFleet(seed, UPSTREAMS);
    fleet.underLoad = true;
    int started = 0;
    while (started < 7) {
      fleet.start(started++);
    }
    check(fleet, seed, Duration.ofSeconds(20));
    for (int fault = 0; fault < FAULTS; fault++) {
      started += injectFault(fleet, random, started);
      check(fleet, seed, Duration.ofMillis(random.nextInt(6_000)));
    }
    heal(fleet);
    check(fleet, seed, Duration.ofSeconds(60));
    for (Upstream upstream : fleet.configuration.upstreams()) {
      Optional<Duration> whole =
          fleet.runUntil(
              now -> now.usableCold(upstream) == upstream.coldLimit(), Duration.ofMinutes(2));
      assertTrue(whole.isPresent(), "seed " + seed + " " + upstream.name() + " whole");
    }
  }

  private static void check(MembershipFleet fleet, long seed, Duration time) {
    Optional<Duration> broken =
        fleet.runUntil(
            now ->
                now.configuration.upstreams().stream()
                    .anyMatch(
                        upstream ->
                            now.usableCold(upstream) > upstream.coldLimit()
                                || now.inFlight(upstream) > upstream.coldLimit()),
            time);
    assertTrue(broken.isEmpty(), "seed " + seed + " at " + fleet.now);
  }

  /** Injects a random fault and returns how many nodes it started. */
  private static int injectFault(MembershipFleet fleet, Random random, int started) {
    List<NodeId> ids = List.copyOf(fleet.nodes.keySet());
    NodeId one = ids.get(random.nextInt(ids.size()));
    NodeId other = ids.get(random.nextInt(ids.size()));
    MembershipFleet.Node node = fleet.nodes.get(one);
    switch (random.nextInt(10)) {
      case 0 -> fleet.isCut = (from, to) -> from.equals(one);
      case 1 -> fleet.isCut = (from, to) -> from.compareTo(one) < 0 != to.compareTo(one) < 0;
      case 2 -> fleet.isCut = (from, to) -> false;
      case 3 -> node.pausedUntil = fleet.now + Duration.ofSeconds(random.nextInt(8)).toNanos();
      case 4 -> restart(fleet, one);
      case 5 -> fleet.platformUp = random.nextBoolean();
      case 6 -> fleet.answersLost = random.nextBoolean();
      case 7 -> node.membership.resign(fleet.now);
      case 8 -> {
        fleet.start(started);
        return 1;
      }
      default ->
          fleet
              .nodes
              .get(other)
              .membership
              .markDomain(FailureDomain.of("d1"), random.nextBoolean(), fleet.now);
    }
    return 0;
  }

  private static void restart(MembershipFleet fleet, NodeId id) {
    fleet.kill(id);
    fleet.start(Integer.parseInt(id.name().substring(1)));
  }

  private static void heal(MembershipFleet fleet) {
    fleet.isCut = (from, to) -> false;
    fleet.platformUp = true;
    fleet.answersLost = false;
    fleet.underLoad = false;
    fleet.vms = Map.of();
    fleet
        .nodes
        .values()
        .iterator()
        .next()
        .membership
        .markDomain(FailureDomain.of("d1"), false, fleet.now);
  }
}
