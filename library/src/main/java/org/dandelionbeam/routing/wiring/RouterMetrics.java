package org.dandelionbeam.routing.wiring;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;

/** Counters and latency histograms of a router, by route kind and by team. */
public final class RouterMetrics {
  /** Further teams share one label, which bounds the size of the metrics page. */
  private static final int MAX_TEAMS = 64;

  private static final Duration[] BUCKETS = {
    Duration.ofMillis(3),
    Duration.ofMillis(30),
    Duration.ofMillis(100),
    Duration.ofMillis(300),
    Duration.ofMillis(600),
    Duration.ofSeconds(1),
    Duration.ofSeconds(3),
    Duration.ofSeconds(10)
  };

  private final PrometheusMeterRegistry registry =
      new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
  private final Map<String, Counter> counters = new HashMap<>();
  private final Map<String, Timer> timers = new HashMap<>();
  private final Set<String> teams = new HashSet<>();

  private RouterMetrics() {}

  /**
   * Creates metrics without samples.
   *
   * @return the metrics
   */
  public static RouterMetrics create() {
    return new RouterMetrics();
  }

  /** Records a finished request and its duration. */
  void recordRequest(String kind, String team, int status, long nanos) {
    counter("dandelionbeam_requests", "status", Integer.toString(status)).increment();
    timer("dandelionbeam_request", "kind", kind).record(Duration.ofNanos(nanos));
    boolean known = teams.contains(team) || teams.size() < MAX_TEAMS;
    String label = known ? team : "other";
    teams.add(label);
    timer("dandelionbeam_team_request", "team", label).record(Duration.ofNanos(nanos));
  }

  /** Shows whether requests on routes that were added later are served like the others. */
  void recordRoute(boolean added, int status) {
    String name = added ? "added_route_requests" : "first_route_requests";
    count(name, "status", Integer.toString(status));
  }

  /**
   * Records for how long an upstream that leaves stayed in use after some router had known of it.
   *
   * @param source how this router got to know it
   * @param inUse the time, as far as this router can tell
   */
  public void recordDeparture(String source, Duration inUse) {
    timer("dandelionbeam_upstream_departure", "source", source).record(inUse);
  }

  /** Increments a counter. */
  void count(String name, String label, String value) {
    counter("dandelionbeam_" + name, label, value).increment();
  }

  /** Records the time from the arrival of a request to its first send. */
  void recordDispatch(String kind, long nanos) {
    timer("dandelionbeam_dispatch", "kind", kind).record(Duration.ofNanos(nanos));
  }

  /**
   * Registers a gauge, which is read when the page is requested.
   *
   * @param name name of the gauge, without the prefix of all metrics
   * @param value reads the current value
   */
  public void gauge(String name, Supplier<Number> value) {
    // The registry would let go of what reads the value.
    Gauge.builder("dandelionbeam_" + name, value).strongReference(true).register(registry);
  }

  /**
   * Returns the metrics page.
   *
   * @return all metrics in the Prometheus text format
   */
  public String page() {
    return registry.scrape();
  }

  private Counter counter(String name, String label, String value) {
    return counters.computeIfAbsent(
        name + value, key -> Counter.builder(name).tag(label, value).register(registry));
  }

  private Timer timer(String name, String label, String value) {
    return timers.computeIfAbsent(
        name + value,
        key ->
            Timer.builder(name)
                .tag(label, value)
                .serviceLevelObjectives(BUCKETS)
                .register(registry));
  }
}
