package org.dandelionbeam.daemon.bench;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.dandelionbeam.base.FailureDomain;
import org.dandelionbeam.config.Upstream;
import org.dandelionbeam.config.wiring.ConfigFiles;
import org.dandelionbeam.daemon.bench.Figure.Target;
import org.dandelionbeam.daemon.fleet.Site;
import org.dandelionbeam.daemon.load.ContinuousLoad;

/** Takes a failure domain out under load and brings it back. */
public final class DomainBench {
  private static final int ROUTERS = 6;
  private static final double LOAD = 0.8;
  private static final long SEED = 12;
  private static final long BEFORE_MILLIS = 10_000;
  private static final long WARM_UP_MILLIS = 5_000;
  private static final long AWAY_MILLIS = 8_000;
  private static final long AFTER_MILLIS = 6_000;
  private static final Duration RETURN_LIMIT = Duration.ofSeconds(30);
  private static final double SECONDS_TO_LEAVE = 3;
  private static final double RATIO = 1.5;
  private static final double FULL_SHARE = 0.9;
  private static final long POLL_MILLIS = 20;

  private DomainBench() {}

  /**
   * Runs the measurement.
   *
   * @return its figures
   */
  public static List<Figure> run() {
    List<Figure> figures = new ArrayList<>();
    FailureDomain domain;
    double rate;
    double during;
    try (SiteTrial trial = SiteTrial.start(Site.CAROL, ROUTERS)) {
      domain = trial.configuration().domains().get(2).name();
      rate = LOAD * trial.capacity();
      during = measure(trial, domain, figures);
    }
    double never = withoutDomain(domain, rate);
    add(figures, "domain_first_token_p95_never_had", never, "ms", Target.none());
    add(figures, "domain_first_token_p95_ratio", during / never, "1", Target.atMost(RATIO));
    return figures;
  }

  private static double measure(SiteTrial trial, FailureDomain domain, List<Figure> figures) {
    ContinuousLoad load = trial.load(LOAD, SEED);
    SiteTrial.sleep(BEFORE_MILLIS);
    double usual = inFlight(trial, domain);
    long leftNanos = System.nanoTime();
    trial.fleet().router(0).membership().leaveDomain(domain).join();
    double lastWork = lastNewWork(trial, domain);
    long backNanos = System.nanoTime();
    trial.fleet().router(1).membership().returnDomain(domain).join();
    double full =
        SiteTrial.secondsUntil(RETURN_LIMIT, () -> inFlight(trial, domain) >= FULL_SHARE * usual);
    long fullNanos = System.nanoTime();
    SiteTrial.sleep(AFTER_MILLIS);
    Samples last = new Samples(load.stop()).last();
    BenchReport.note("domain not answered: " + last.codes());
    add(figures, "domain_requests", last.count(), "1", Target.none());
    add(figures, "domain_answered_share", last.answeredShare(), "1", Target.atLeast(1));
    add(figures, "domain_last_new_work", lastWork, "s", Target.atMost(SECONDS_TO_LEAVE));
    add(figures, "domain_full_use_again", full, "s", Target.none());
    long warm = leftNanos - TimeUnit.MILLISECONDS.toNanos(BEFORE_MILLIS - WARM_UP_MILLIS);
    Samples away = last.intendedIn(leftNanos, backNanos);
    figures.add(firstToken("before", last.intendedIn(warm, leftNanos)));
    figures.add(firstToken("away", away));
    figures.add(firstToken("returning", last.intendedIn(backNanos, fullNanos)));
    figures.add(firstToken("after", last.intendedIn(fullNanos, Long.MAX_VALUE)));
    add(figures, "domain_wrong", last.wrong().count(), "1", Target.atMost(0));
    add(figures, "domain_doubled", trial.doubledBookings(), "1", Target.atMost(0));
    return away.firstTokenMillis(95);
  }

  /** Returns the seconds from now to the last start of a request in a domain. */
  private static double lastNewWork(SiteTrial trial, FailureDomain domain) {
    long start = System.nanoTime();
    long begun = trial.begun(domain);
    double last = 0;
    while (System.nanoTime() - start < TimeUnit.MILLISECONDS.toNanos(AWAY_MILLIS)) {
      SiteTrial.sleep(POLL_MILLIS);
      long now = trial.begun(domain);
      if (now > begun) {
        begun = now;
        last = (System.nanoTime() - start) / 1e9;
      }
    }
    return last;
  }

  private static double withoutDomain(FailureDomain domain, double rate) {
    StringBuilder overlay = new StringBuilder("upstreams:\n");
    for (Upstream upstream : Site.CAROL.configuration().upstreams()) {
      if (upstream.domain().equals(domain)) {
        overlay.append("  - {name: %s, remove: true}%n".formatted(upstream.name()));
      }
    }
    ConfigFiles.Text text = new ConfigFiles.Text("without", overlay.toString());
    try (SiteTrial trial =
        SiteTrial.start(Site.CAROL, ROUTERS, (from, to) -> true, List.of(text))) {
      ContinuousLoad load = trial.load(LOAD * rate / (LOAD * trial.capacity()), SEED);
      long start = System.nanoTime();
      SiteTrial.sleep(BEFORE_MILLIS + AWAY_MILLIS);
      long from = start + TimeUnit.MILLISECONDS.toNanos(BEFORE_MILLIS);
      Samples last = new Samples(load.stop()).last();
      BenchReport.note("domain that never was, not answered: " + last.codes());
      return last.intendedIn(from, Long.MAX_VALUE).firstTokenMillis(95);
    }
  }

  private static int inFlight(SiteTrial trial, FailureDomain domain) {
    return trial.engines().stream()
        .filter(upstream -> upstream.domain().equals(domain))
        .mapToInt(upstream -> trial.fleet().standIns().engine(upstream.name()).inFlight())
        .sum();
  }

  private static Figure firstToken(String phase, Samples samples) {
    String name = "domain_first_token_p95_" + phase;
    return new Figure(name, samples.firstTokenMillis(95), "ms", Target.none());
  }

  private static void add(
      List<Figure> figures, String name, double value, String unit, Target target) {
    figures.add(new Figure(name, value, unit, target));
  }
}
