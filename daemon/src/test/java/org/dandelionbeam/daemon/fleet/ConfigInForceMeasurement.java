package org.dandelionbeam.daemon.fleet;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.dandelionbeam.config.ApplyResult;
import org.dandelionbeam.config.wiring.ConfigFiles.Text;
import org.dandelionbeam.node.wiring.RouterNode;
import org.dandelionbeam.standins.PlatformFault;

/** Prints how long a change takes to be in force on real routers; run its main method. */
public final class ConfigInForceMeasurement {
  private static final int CHANGES = 20;
  private static final double NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

  private ConfigInForceMeasurement() {}

  public static void main(String[] arguments) {
    for (int routers : new int[] {3, 8}) {
      try (LocalFleet fleet = LocalFleet.builder().routers(routers).start()) {
        fleet.apply(List.of());
        if (!fleet.awaitReady(Duration.ofSeconds(30))) {
          throw new IllegalStateException("fleet is not ready");
        }
        print(fleet, "no fault");
        fleet.platform().inject(PlatformFault.LOSE_ANSWER, 0.5);
        print(fleet, "half of the platform's answers lost");
        fleet.platform().clearFaults();
      }
    }
    System.exit(0);
  }

  private static void print(LocalFleet fleet, String fault) {
    double[] accepted = new double[CHANGES];
    double[] everywhere = new double[CHANGES];
    for (int i = 0; i < CHANGES; i++) {
      String overlay = "teams:\n  - {name: counter, weight: " + (2 + i % 7) + "}\n";
      long begun = System.nanoTime();
      ApplyResult result = fleet.apply(List.of(new Text("change", overlay)));
      accepted[i] = (System.nanoTime() - begun) / NANOS_PER_MILLI;
      long revision = ((ApplyResult.Accepted) result).revision();
      while (!fleet.routers().stream().allMatch(router -> hasReached(router, revision))) {
        Thread.onSpinWait();
      }
      everywhere[i] = (System.nanoTime() - begun) / NANOS_PER_MILLI;
    }
    Arrays.sort(accepted);
    Arrays.sort(everywhere);
    System.out.printf(
        "%d routers, %s: accepted median %.0f worst %.0f ms, in force everywhere median %.0f"
            + " worst %.0f ms (%d changes)%n",
        fleet.routers().size(),
        fault,
        accepted[CHANGES / 2],
        accepted[CHANGES - 1],
        everywhere[CHANGES / 2],
        everywhere[CHANGES - 1],
        CHANGES);
  }

  private static boolean hasReached(RouterNode router, long revision) {
    return router.config().revision() >= revision;
  }
}
