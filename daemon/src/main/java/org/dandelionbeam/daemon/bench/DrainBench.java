package org.dandelionbeam.daemon.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.dandelionbeam.daemon.bench.Figure.Target;
import org.dandelionbeam.daemon.fleet.Site;
import org.dandelionbeam.daemon.load.ContinuousLoad;
import org.dandelionbeam.daemon.load.Outcome;

/** Measures which requests fail when the routers are closed and restarted in turn under load. */
public final class DrainBench {
  private static final int ROUTERS = 6;
  private static final double LOAD_SHARE = 0.5;
  private static final long SEED = 13;
  private static final long MIN_REQUESTS = 10_500;
  private static final long PAUSE_MILLIS = 1_500;

  private DrainBench() {}

  /**
   * Runs the measurement.
   *
   * @return its figures
   */
  public static List<Figure> run() {
    List<Figure> figures = new ArrayList<>();
    try (SiteTrial trial = SiteTrial.start(Site.MAJLIS, ROUTERS)) {
      long begun = System.nanoTime();
      ContinuousLoad load = trial.startLoad(LOAD_SHARE, SEED);
      SiteTrial.sleep(PAUSE_MILLIS);
      int drains = 0;
      double longest = 0;
      while (load.started() < MIN_REQUESTS) {
        int victim = drains++ % ROUTERS;
        long start = System.nanoTime();
        double at = (start - begun) / 1e9;
        BenchReport.printNote(String.format(Locale.ROOT, "router %d closes at %.3f s", victim, at));
        trial.fleet().router(victim).close();
        BenchReport.printNote(
            String.format(Locale.ROOT, "closed at %.3f s", (System.nanoTime() - begun) / 1e9));
        longest = Math.max(longest, (System.nanoTime() - start) / 1e9);
        SiteTrial.sleep(PAUSE_MILLIS);
        trial.fleet().restart(victim);
        SiteTrial.sleep(PAUSE_MILLIS);
      }
      report(trial, new Samples(load.stop()), begun, figures);
      figures.add(new Figure("drain_drains", drains, "1", Target.none()));
      figures.add(new Figure("drain_longest", longest, "s", Target.none()));
    }
    return figures;
  }

  private static void report(SiteTrial trial, Samples samples, long begun, List<Figure> figures) {
    Samples last = samples.lastAttempts();
    BenchReport.printNote("drain not answered: " + last.countUnansweredByCode());
    Samples failed = samples.matching(s -> s.outcome().type() == Outcome.Type.FAILED);
    Samples cut = failed.matching(s -> !s.outcome().code().equals("CONNECT"));
    cut.all().forEach(sample -> BenchReport.printNote(sample.describe(begun)));
    long untrue = Samples.countFalseNotRun(last.all(), trial);
    figures.add(new Figure("drain_requests", last.count(), "1", Target.none()));
    figures.add(new Figure("drain_cut", cut.count(), "1", Target.atMost(0)));
    figures.add(new Figure("drain_wrong", samples.wrong().count(), "1", Target.atMost(0)));
    int unanswered = last.unanswered().count();
    figures.add(new Figure("drain_unanswered", unanswered, "1", Target.atMost(0)));
    figures.add(new Figure("drain_untrue_not_run", untrue, "1", Target.atMost(0)));
    figures.add(new Figure("drain_doubled", trial.doubledBookings(), "1", Target.atMost(0)));
  }
}
