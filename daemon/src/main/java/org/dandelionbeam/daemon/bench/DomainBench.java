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

/** Measures the effect on requests of taking a failure domain out of use and bringing it back. */
public final class DomainBench {
  private static final int ROUTERS = 6;
  private static final double LOAD_SHARE = 0.8;
  private static final long SEED = 12;
  private static final long BEFORE_MILLIS = 10_000;
  private static final long WARM_UP_MILLIS = 5_000;
  private static final long AWAY_MILLIS = 8_000;
  private static final long AFTER_MILLIS = 6_000;
  private static final Duration RETURN_TIMEOUT = Duration.ofSeconds(30);
  private static final double MAX_LEAVE_SECONDS = 3;
  private static final double MAX_FIRST_TOKEN_RATIO = 1.5;
  private static final double RECOVERED_SHARE = 0.9;
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
    double whileAway;
    try (SiteTrial trial = SiteTrial.start(Site.CAROL, ROUTERS)) {
      domain = trial.configuration().domains().get(2).name();
      rate = LOAD_SHARE * trial.capacityRequestsPerSecond();
      whileAway = measure(trial, domain, figures);
    }
    double withoutDomain = measureWithoutDomain(domain, rate);
    add(figures, "domain_first_token_p95_never_had", withoutDomain, "ms", Target.none());
    add(
        figures,
        "domain_first_token_p95_ratio",
        whileAway / withoutDomain,
        "1",
        Target.atMost(MAX_FIRST_TOKEN_RATIO));
    return figures;
  }

  private static double measure(SiteTrial trial, FailureDomain domain, List<Figure> figures) {
    ContinuousLoad load = trial.startLoad(LOAD_SHARE, SEED);
    SiteTrial.sleep(BEFORE_MILLIS);
    double usual = inFlight(trial, domain);
    long leftNanos = System.nanoTime();
    trial.fleet().router(0).membership().leaveDomain(domain).join();
    double lastWork = secondsToLastStart(trial, domain);
    long backNanos = System.nanoTime();
    trial.fleet().router(1).membership().returnDomain(domain).join();
    double full =
        SiteTrial.secondsUntil(
            RETURN_TIMEOUT, () -> inFlight(trial, domain) >= RECOVERED_SHARE * usual);
    long fullNanos = System.nanoTime();
    SiteTrial.sleep(AFTER_MILLIS);
    Samples last = new Samples(load.stop()).lastAttempts();
    BenchReport.printNote("domain not answered: " + last.countUnansweredByCode());
    add(figures, "domain_requests", last.count(), "1", Target.none());
    add(figures, "domain_answered_share", last.answeredShare(), "1", Target.atLeast(1));
    add(figures, "domain_last_new_work", lastWork, "s", Target.atMost(MAX_LEAVE_SECONDS));
    add(figures, "domain_full_use_again", full, "s", Target.none());
    long warm = leftNanos - TimeUnit.MILLISECONDS.toNanos(BEFORE_MILLIS - WARM_UP_MILLIS);
    Samples away = last.intendedIn(leftNanos, backNanos);
    figures.add(firstToken("before", last.intendedIn(warm, leftNanos)));
    figures.add(firstToken("away", away));
    figures.add(firstToken("returning", last.intendedIn(backNanos, fullNanos)));
    figures.add(firstToken("after", last.intendedIn(fullNanos, Long.MAX_VALUE)));
    add(figures, "domain_wrong", last.wrong().count(), "1", Target.atMost(0));
    add(figures, "domain_doubled", trial.doubledBookings(), "1", Target.atMost(0));
    return away.firstTokenPercentileMillis(95);
  }

  /** Returns the seconds from now to the last start of a request in a domain out of use. */
  private static double secondsToLastStart(SiteTrial trial, FailureDomain domain) {
    long start = System.nanoTime();
    long begun = trial.started(domain);
    double last = 0;
    while (System.nanoTime() - start < TimeUnit.MILLISECONDS.toNanos(AWAY_MILLIS)) {
      SiteTrial.sleep(POLL_MILLIS);
      long now = trial.started(domain);
      if (now > begun) {
        begun = now;
        last = (System.nanoTime() - start) / 1e9;
      }
    }
    return last;
  }

  private static double measureWithoutDomain(FailureDomain domain, double rate) {
    StringBuilder overlay = new StringBuilder("upstreams:\n");
    for (Upstream upstream : Site.CAROL.configuration().upstreams()) {
      if (upstream.domain().equals(domain)) {
        overlay.append("  - {name: %s, remove: true}%n".formatted(upstream.name()));
      }
    }
    ConfigFiles.Text text = new ConfigFiles.Text("without", overlay.toString());
    try (SiteTrial trial =
        SiteTrial.start(Site.CAROL, ROUTERS, (from, to) -> true, List.of(text))) {
      ContinuousLoad load =
          trial.startLoad(
              LOAD_SHARE * rate / (LOAD_SHARE * trial.capacityRequestsPerSecond()), SEED);
      long start = System.nanoTime();
      SiteTrial.sleep(BEFORE_MILLIS + AWAY_MILLIS);
      long from = start + TimeUnit.MILLISECONDS.toNanos(BEFORE_MILLIS);
      Samples last = new Samples(load.stop()).lastAttempts();
      BenchReport.printNote(
          "fleet without the domain, not answered: " + last.countUnansweredByCode());
      return last.intendedIn(from, Long.MAX_VALUE).firstTokenPercentileMillis(95);
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
    return new Figure(name, samples.firstTokenPercentileMillis(95), "ms", Target.none());
  }

  private static void add(
      List<Figure> figures, String name, double value, String unit, Target target) {
    figures.add(new Figure(name, value, unit, target));
  }
}
