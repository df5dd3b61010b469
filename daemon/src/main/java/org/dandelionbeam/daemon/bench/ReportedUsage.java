package org.dandelionbeam.daemon.bench;

import java.util.Arrays;
import java.util.Random;
import org.dandelionbeam.base.ServiceId;
import org.dandelionbeam.base.TeamId;
import org.dandelionbeam.dispatch.UsageListener;

/** Cumulative usage by router and team, and the part of it that reports have made known. */
final class ReportedUsage {
  private final double[][] charged;
  private final double[][] reported;

  ReportedUsage(int routers, int teams) {
    charged = new double[routers][teams + 1];
    reported = new double[routers][teams + 1];
  }

  /** Reports all counters; each report is lost with the given probability. */
  void report(double loss, Random random) {
    for (int router = 0; router < charged.length; router++) {
      for (int team = 0; team < charged[router].length; team++) {
        if (random.nextDouble() >= loss) {
          reported[router][team] = Math.max(reported[router][team], charged[router][team]);
        }
      }
    }
  }

  /** Forgets all reports; the next ones rebuild the totals. */
  void loseHomes() {
    for (double[] ofRouter : reported) {
      Arrays.fill(ofRouter, 0);
    }
  }

  double usageAtOthers(int router, TeamId team) {
    double sum = 0;
    for (int other = 0; other < reported.length; other++) {
      sum += other == router ? 0 : reported[other][team.number()];
    }
    return sum;
  }

  UsageListener listenerOf(int router) {
    return new UsageListener() {
      @Override
      public void waited(ServiceId service, TeamId team, long waitNanos) {
        // Waits are measured at the entry.
      }

      @Override
      public void queued(ServiceId service, TeamId team) {
        // All teams are reported.
      }

      @Override
      public void charged(ServiceId service, TeamId team, double cost) {
        charged[router][team.number()] += cost;
      }

      @Override
      public void ended(ServiceId service, TeamId team, double cost) {
        // Usage is measured at the engine.
      }
    };
  }
}
