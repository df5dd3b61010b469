package org.dandelionbeam.share;

import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import org.dandelionbeam.base.TeamId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Two teams that always have waiting tickets, one at all of eight owners and one at five of them.
 * Guards against a gap in usage that grows with time when reports are lost, a home starts empty or
 * an owner restarts.
 */
public class ShareFairnessTest {
  private static final TeamId AT_ALL_OWNERS = TeamId.of(0);
  private static final TeamId AT_FIVE_OWNERS = TeamId.of(1);
  private static final int OWNERS = 8;
  private static final int TICKS = 400;
  private static final double WORK_PER_TICK = 100;

  /** Fault that is injected during the run. */
  enum Fault {
    NONE,
    HOME_REBUILT {
      @Override
      void inject(ShareFleet fleet, ShareFleet.Owner owner) {
        fleet.rebuildHome();
      }
    },
    OWNER_RESTARTED {
      @Override
      void inject(ShareFleet fleet, ShareFleet.Owner owner) {
        owner.restartEmpty();
      }
    };

    void inject(ShareFleet fleet, ShareFleet.Owner owner) {}
  }

  @DataProvider
  Object[][] faults() {
    return IntStream.range(0, 10)
        .boxed()
        .flatMap(
            seed ->
                List.of(Fault.values()).stream()
                    .flatMap(
                        fault ->
                            List.of(0.0, 0.3).stream()
                                .map(loss -> new Object[] {fault, loss, seed})))
        .toArray(Object[][]::new);
  }

  /**
   * The gap stays within the usage that one team can gain before the other owners know of it: at
   * each owner the largest cost of a request and, at the highest rate, the usage of one interval
   * for the report, one for each report lost in a row and one for the fault.
   */
  @Test(dataProvider = "faults")
  public void gapStaysBoundedAcrossOwners(Fault fault, double loss, int seed) {
    double bound = OWNERS * MAX_WORK_PER_TICK * (loss > 0 ? 4 : 2) + OWNERS * ShareFleet.MAX_COST;
    assertTrue(largestGap(fault, loss, seed, true) <= bound, "within " + bound);
  }

  private static final double MAX_WORK_PER_TICK = 1.5 * WORK_PER_TICK;

  @Test
  public void gapGrowsWithoutBoundWithoutRemoteUsage() {
    assertTrue(largestGap(Fault.NONE, 0, 1, false) > TICKS * WORK_PER_TICK);
  }

  static double largestGap(Fault fault, double loss, int seed, boolean useRemoteUsage) {
    ShareFleet fleet = new ShareFleet(2, loss, seed);
    ShareFleet.Owner first = fleet.add(List.of(AT_ALL_OWNERS, AT_FIVE_OWNERS));
    for (int i = 1; i < OWNERS; i++) {
      fleet.add(i < 5 ? List.of(AT_ALL_OWNERS, AT_FIVE_OWNERS) : List.of(AT_ALL_OWNERS));
    }
    double lowest = 0;
    double highest = 0;
    for (int i = 0; i < TICKS; i++) {
      if (i % 100 == 50) {
        fault.inject(fleet, first);
      }
      fleet.tick(WORK_PER_TICK, useRemoteUsage);
      double difference = fleet.total(AT_ALL_OWNERS) - fleet.total(AT_FIVE_OWNERS);
      lowest = Math.min(lowest, difference);
      highest = Math.max(highest, difference);
    }
    return highest - lowest;
  }
}
