package org.dandelionbeam.dispatch.wiring;

import io.micrometer.core.instrument.DistributionSummary;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.dandelionbeam.base.ServiceId;
import org.dandelionbeam.base.TeamId;
import org.dandelionbeam.config.Configuration;
import org.dandelionbeam.dispatch.UsageListener;

/**
 * Records waiting times and costs as histograms by service and team, for a bounded number of teams,
 * and passes all calls on to the next listener.
 */
final class DispatchMeters implements UsageListener {
  private static final Duration[] WAIT_BUCKETS = {
    Duration.ofMillis(5),
    Duration.ofMillis(20),
    Duration.ofMillis(100),
    Duration.ofMillis(420),
    Duration.ofSeconds(1),
    Duration.ofSeconds(3),
    Duration.ofSeconds(10),
    Duration.ofSeconds(30),
    Duration.ofSeconds(60)
  };
  private static final double[] COST_BUCKETS = {1, 10, 50, 200, 1_000, 5_000, 20_000, 100_000};

  private final MeterRegistry meters;
  private final UsageListener next;
  private final Map<Series, Timer> waits = new HashMap<>();
  private final Map<Series, DistributionSummary> costs = new HashMap<>();
  private final AtomicInteger waiting;
  private final AtomicInteger running;
  private TeamTags tags;

  DispatchMeters(MeterRegistry meters, UsageListener next, Configuration configuration) {
    this.meters = meters;
    this.next = next;
    tags = TeamTags.of(configuration);
    waiting = meters.gauge("dandelionbeam.dispatch.waiting", new AtomicInteger());
    running = meters.gauge("dandelionbeam.dispatch.running", new AtomicInteger());
  }

  void configurationChanged(Configuration configuration) {
    tags = TeamTags.of(configuration);
  }

  void setTicketCounts(int waitingNow, int runningNow) {
    waiting.set(waitingNow);
    running.set(runningNow);
  }

  @Override
  public void waited(ServiceId service, TeamId team, long waitNanos) {
    Duration wait = Duration.ofNanos(waitNanos);
    waits.computeIfAbsent(series(service, team), this::waitTimer).record(wait);
    next.waited(service, team, waitNanos);
  }

  @Override
  public void queued(ServiceId service, TeamId team) {
    next.queued(service, team);
  }

  @Override
  public void charged(ServiceId service, TeamId team, double cost) {
    next.charged(service, team, cost);
  }

  @Override
  public void ended(ServiceId service, TeamId team, double cost) {
    costs.computeIfAbsent(series(service, team), this::costSummary).record(cost);
    next.ended(service, team, cost);
  }

  private Series series(ServiceId service, TeamId team) {
    return new Series(tags.service(service), tags.team(team));
  }

  private Timer waitTimer(Series series) {
    return Timer.builder("dandelionbeam.dispatch.wait")
        .description("Time of tickets in the queues of this owner")
        .tag("service", series.service)
        .tag("team", series.team)
        .serviceLevelObjectives(WAIT_BUCKETS)
        .register(meters);
  }

  private DistributionSummary costSummary(Series series) {
    return DistributionSummary.builder("dandelionbeam.dispatch.cost")
        .description("Measured cost of the requests that this owner granted")
        .tag("service", series.service)
        .tag("team", series.team)
        .serviceLevelObjectives(COST_BUCKETS)
        .register(meters);
  }

  private record Series(String service, String team) {}
}
