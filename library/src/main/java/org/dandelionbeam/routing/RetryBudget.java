package org.dandelionbeam.routing;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Limits the retries that all routers together send to each service.
 *
 * <p>The budget is a ratio of the requests of all routers plus a fixed number. Within the time that
 * reports take, a router may use as much of what is left as corresponds to its part of the
 * requests. Without a recent report it uses the ratio of its own requests and an even part of the
 * fixed number. Not thread-safe.
 */
public final class RetryBudget {
  /**
   * Margin for windows that contain retries but no longer the requests that allowed them, and for
   * routers that are cut off while the others share the whole budget.
   */
  private static final double SAFETY = 0.5;

  /** Retries of other routers that are older than this are contained in their reported counts. */
  private static final Duration REPORT_DELAY = Duration.ofMillis(700);

  /** Reports arrive several times a second; without one, this router may be cut off. */
  private static final Duration OTHERS_MAX_AGE = Duration.ofMillis(1_500);

  private static final double NANOS_PER_SECOND = 1e9;
  private static final int HASH_FACTOR = 0x9E3779B9;

  private final FleetLimits limits;
  private final int routerNumber;
  private final Map<Integer, Counts> services = new HashMap<>();
  private Map<Integer, RetryCounts> others = Map.of();
  private long othersAtNanos;
  private boolean othersKnown;

  private RetryBudget(FleetLimits limits, int routerNumber) {
    this.limits = requireNonNull(limits, "limits");
    this.routerNumber = routerNumber;
  }

  /**
   * Creates a budget without recorded requests.
   *
   * @param limits limits for all routers together
   * @param routerNumber number of this router
   * @return the budget
   */
  public static RetryBudget of(FleetLimits limits, int routerNumber) {
    return new RetryBudget(limits, routerNumber);
  }

  /**
   * Records a request of a caller.
   *
   * @param service service that the request goes to
   * @param nowNanos monotonic time
   */
  public void recordRequest(ServiceName service, long nowNanos) {
    Counts counts = counts(service);
    counts.requests.add(nowNanos);
    counts.recentRequests.add(nowNanos);
  }

  /**
   * Replaces the counts of all other routers.
   *
   * @param counts requests and retries within the window, by number of the service
   * @param nowNanos monotonic time
   */
  public void recordOthers(Map<Integer, RetryCounts> counts, long nowNanos) {
    others = Map.copyOf(counts);
    othersAtNanos = nowNanos;
    othersKnown = true;
  }

  /**
   * Takes one retry from the budget, if it is not used up.
   *
   * @param service service that the request goes to
   * @param routers number of routers in the fleet
   * @param nowNanos monotonic time
   * @return false if this router may not retry now
   */
  public boolean tryAcquire(ServiceName service, int routers, long nowNanos) {
    Counts counts = counts(service);
    boolean allowed =
        othersKnown && nowNanos - othersAtNanos <= OTHERS_MAX_AGE.toNanos()
            ? isWithinShare(
                counts, others.getOrDefault(service.number(), RetryCounts.NONE), routers, nowNanos)
            : isWithinOwnPart(counts, routers, nowNanos);
    if (allowed) {
      counts.retries.add(nowNanos);
      counts.recentRetries.add(nowNanos);
    }
    return allowed;
  }

  private boolean isWithinShare(Counts counts, RetryCounts other, int routers, long nowNanos) {
    // The reported counts contain no recent requests, so neither does this router's part.
    long ownRequests = counts.requests.count(nowNanos) - counts.recentRequests.count(nowNanos);
    long requests = ownRequests + other.requests();
    double budget = SAFETY * (limits.retryRatio() * requests + limits.retryExtra());
    int recent = counts.recentRetries.count(nowNanos);
    long earlier = counts.retries.count(nowNanos) - recent + other.retries();
    // One more request for each router, so that a router without earlier requests may retry too.
    double share = (budget - earlier) * (ownRequests + 1) / (requests + routers);
    return recent + 1 <= share + rounding(nowNanos / REPORT_DELAY.toNanos());
  }

  private boolean isWithinOwnPart(Counts counts, int routers, long nowNanos) {
    double budget =
        SAFETY
            * (limits.retryRatio() * counts.requests.count(nowNanos)
                + limits.retryExtra() / routers);
    return counts.retries.count(nowNanos) + 1 <= budget + rounding(0);
  }

  /**
   * Returns 0 to 1, different for each router and each period. It is added to shares before they
   * are rounded down, so that the routers together may use the sum of their shares even if each
   * share is less than one.
   */
  private double rounding(long period) {
    int mixed = (routerNumber + (int) period * HASH_FACTOR) * HASH_FACTOR;
    mixed = (mixed ^ (mixed >>> Short.SIZE)) * HASH_FACTOR;
    return Integer.toUnsignedLong(mixed ^ (mixed >>> Short.SIZE)) / (double) (1L << Integer.SIZE);
  }

  /**
   * Returns the rate of requests over all routers and services.
   *
   * @param nowNanos monotonic time
   * @return requests per second, averaged over the window
   */
  public double requestsPerSecond(long nowNanos) {
    long requests =
        services.values().stream().mapToLong(counts -> counts.requests.count(nowNanos)).sum()
            + others.values().stream().mapToLong(RetryCounts::requests).sum();
    return requests * NANOS_PER_SECOND / limits.retryWindow().toNanos();
  }

  /**
   * Returns the counts of this router.
   *
   * @param nowNanos monotonic time
   * @return requests and retries within the window, by number of the service
   */
  public Map<Integer, RetryCounts> localCounts(long nowNanos) {
    Map<Integer, RetryCounts> local = new HashMap<>();
    services.forEach(
        (service, counts) ->
            local.put(
                service,
                new RetryCounts(counts.requests.count(nowNanos), counts.retries.count(nowNanos))));
    return local;
  }

  private Counts counts(ServiceName service) {
    return services.computeIfAbsent(service.number(), key -> new Counts(limits));
  }

  /** Requests and retries of one service within the window. */
  private static final class Counts {
    private final SlidingWindowCounter requests;
    private final SlidingWindowCounter retries;
    private final SlidingWindowCounter recentRequests = SlidingWindowCounter.of(REPORT_DELAY);
    private final SlidingWindowCounter recentRetries = SlidingWindowCounter.of(REPORT_DELAY);

    Counts(FleetLimits limits) {
      requests = SlidingWindowCounter.of(limits.retryWindow());
      retries = SlidingWindowCounter.of(limits.retryWindow());
    }
  }
}
