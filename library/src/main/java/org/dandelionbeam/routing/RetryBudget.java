package org.dandelionbeam.routing;

import static java.util.Objects.requireNonNull;

import java.util.HashMap;
import java.util.Map;

/**
 * This router's part of the retries that all routers together may send to a service.
 *
 * <p>Each router spends at most its share by its own requests, plus an even part of the fixed
 * allowance, so that the sum holds without any exchange. Not thread-safe.
 */
public final class RetryBudget {
  /** Leaves room for windows that slide across the count of requests. */
  private static final double SAFETY = 0.6;

  private final FleetLimits limits;
  private final Map<ServiceName, Counts> services = new HashMap<>();

  private RetryBudget(FleetLimits limits) {
    this.limits = requireNonNull(limits, "limits");
  }

  /**
   * Returns an allowance without any request.
   *
   * @param limits limits over all routers
   * @return the allowance
   */
  public static RetryBudget of(FleetLimits limits) {
    return new RetryBudget(limits);
  }

  /**
   * Notes a request of a caller.
   *
   * @param service service that it goes to
   * @param nowNanos monotonic time
   */
  public void recordRequest(ServiceName service, long nowNanos) {
    counts(service).requests.add(nowNanos);
  }

  /**
   * Takes one retry.
   *
   * @param service service that it goes to
   * @param routers routers that may send retries too
   * @param nowNanos monotonic time
   * @return false if this router's part is spent
   */
  public boolean tryAcquire(ServiceName service, int routers, long nowNanos) {
    Counts counts = counts(service);
    double fixed = limits.retryExtra() / Math.max(1, routers);
    double allowed = SAFETY * (limits.retryRatio() * counts.requests.count(nowNanos) + fixed);
    if (counts.retries.count(nowNanos) + 1 > allowed) {
      return false;
    }
    counts.retries.add(nowNanos);
    return true;
  }

  private Counts counts(ServiceName service) {
    return services.computeIfAbsent(service, key -> new Counts(limits));
  }

  /** Requests and retries of one service within the window. */
  private static final class Counts {
    private final SlidingWindowCounter requests;
    private final SlidingWindowCounter retries;

    Counts(FleetLimits limits) {
      requests = SlidingWindowCounter.of(limits.retryWindow());
      retries = SlidingWindowCounter.of(limits.retryWindow());
    }
  }
}
