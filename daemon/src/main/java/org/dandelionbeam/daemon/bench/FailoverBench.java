package org.dandelionbeam.daemon.bench;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.dandelionbeam.config.Upstream;
import org.dandelionbeam.daemon.bench.Figure.Target;
import org.dandelionbeam.daemon.fleet.Site;
import org.dandelionbeam.daemon.load.ContinuousLoad;
import org.dandelionbeam.node.wiring.RouterNode;

/**
 * Measures how fast the other routers take over the upstreams of a router that is killed under
 * load, and whether cold engines are overloaded when their owner is killed.
 */
public final class FailoverBench {
  private static final int ROUTERS = 6;
  private static final double LOAD_SHARE = 0.6;
  private static final long SEED = 11;
  private static final long BEFORE_MILLIS = 6_000;
  private static final long BEFORE_COLD_KILL_MILLIS = 700;
  private static final long AFTER_MILLIS = 6_000;
  private static final Duration TAKEOVER_TIMEOUT = Duration.ofSeconds(15);
  private static final double MAX_TAKEOVER_SECONDS = 3;

  private FailoverBench() {}

  /**
   * Runs the measurement for both sites.
   *
   * @return its figures
   */
  public static List<Figure> run() {
    List<Figure> figures = new ArrayList<>();
    for (Site site : List.of(Site.MAJLIS, Site.CAROL)) {
      try (SiteTrial trial = SiteTrial.start(site, ROUTERS)) {
        measure(trial, "failover_" + site.name().toLowerCase(Locale.ROOT), figures);
      }
      try (SiteTrial trial = SiteTrial.startCold(site, ROUTERS)) {
        measureCold(trial, "failover_" + site.name().toLowerCase(Locale.ROOT), figures);
      }
    }
    return figures;
  }

  private static void measure(SiteTrial trial, String name, List<Figure> figures) {
    ContinuousLoad load = trial.startLoad(LOAD_SHARE, SEED);
    SiteTrial.sleep(BEFORE_MILLIS);
    RouterNode victim = routerOwningMostEngines(trial);
    int address = trial.fleet().routers().indexOf(victim);
    List<Upstream> engines = enginesOwnedBy(trial, victim);
    long killedNanos = System.nanoTime();
    victim.kill();
    double owned =
        SiteTrial.secondsUntil(
            TAKEOVER_TIMEOUT,
            () -> engines.stream().allMatch(u -> trial.isOwnedByOther(u.id(), victim)));
    Map<String, Long> begun =
        engines.stream()
            .map(Upstream::name)
            .collect(Collectors.toMap(Function.identity(), trial::started));
    SiteTrial.secondsUntil(
        TAKEOVER_TIMEOUT,
        () -> begun.entrySet().stream().allMatch(e -> trial.completed(e.getKey()) > e.getValue()));
    double used = (System.nanoTime() - killedNanos) / 1e9;
    SiteTrial.sleep(AFTER_MILLIS);
    Samples samples = new Samples(load.stop());
    add(figures, name + "_upstreams_of_killed", engines.size(), "1", Target.none());
    add(figures, name + "_owned_again", owned, "s", Target.atMost(MAX_TAKEOVER_SECONDS));
    add(figures, name + "_used_again", used, "s", Target.atMost(MAX_TAKEOVER_SECONDS));
    addOutcomes(samples, address, killedNanos, name, figures);
    add(figures, name + "_doubled", trial.doubledBookings(), "1", Target.atMost(0));
    long untrue = Samples.countFalseNotRun(samples.lastAttempts().all(), trial);
    add(figures, name + "_untrue_not_run", untrue, "1", Target.atMost(0));
  }

  private static void measureCold(SiteTrial trial, String name, List<Figure> figures) {
    ContinuousLoad load = trial.startLoad(LOAD_SHARE, SEED);
    SiteTrial.sleep(BEFORE_COLD_KILL_MILLIS);
    routerOwningMostEngines(trial).kill();
    SiteTrial.sleep(AFTER_MILLIS);
    load.stop();
    add(figures, name + "_cold_overloads", trial.coldOverloads(), "1", Target.atMost(0));
  }

  private static RouterNode routerOwningMostEngines(SiteTrial trial) {
    return trial.fleet().routers().stream()
        .max(Comparator.comparingInt(router -> enginesOwnedBy(trial, router).size()))
        .orElseThrow();
  }

  private static void addOutcomes(
      Samples samples, int address, long killedNanos, String name, List<Figure> figures) {
    Samples last = samples.lastAttempts();
    Samples lost = last.unanswered();
    Samples lostWithEntry =
        lost.matching(s -> s.address() == address && s.outcome().code().equals("CUT"));
    Samples others = lost.matching(s -> !lostWithEntry.all().contains(s));
    BenchReport.printNote(name + " not answered: " + lost.countUnansweredByCode());
    others.all().forEach(sample -> BenchReport.printNote(sample.describe(killedNanos)));
    add(figures, name + "_requests", last.count(), "1", Target.none());
    add(figures, name + "_lost_with_entry", lostWithEntry.count(), "1", Target.none());
    add(figures, name + "_lost_beyond_entry", others.count(), "1", Target.atMost(0));
    add(figures, name + "_wrong", samples.wrong().count(), "1", Target.atMost(0));
    Samples before = last.intendedIn(killedNanos - BEFORE_MILLIS * 1_000_000, killedNanos);
    Samples after = last.intendedIn(killedNanos, Long.MAX_VALUE);
    add(
        figures,
        name + "_first_token_p95",
        before.firstTokenPercentileMillis(95),
        "ms",
        Target.none());
    double millis = after.firstTokenPercentileMillis(95);
    add(figures, name + "_first_token_p95_after", millis, "ms", Target.none());
  }

  private static List<Upstream> enginesOwnedBy(SiteTrial trial, RouterNode router) {
    List<Upstream> engines = trial.engines();
    return trial.ownedBy(router).stream().filter(engines::contains).toList();
  }

  private static void add(
      List<Figure> figures, String name, double value, String unit, Target target) {
    figures.add(new Figure(name, value, unit, target));
  }
}
