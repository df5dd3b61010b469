package org.dandelionbeam.routing;

import static java.util.Objects.requireNonNull;

import java.util.HashMap;
import java.util.Map;

/**
 * Limits the retries that this router sends to each service.
 *
 * <p>Each router may retry a fixed ratio of its own requests, plus an even share of the fixed
 * number of retries, so that the routers together keep the limit without coordination. Not
 * thread-safe.
 */
public final class RetryBudget {
  /** Margin for windows that contain retries but no longer the requests that allowed them. */
  private static final double SAFETY = 0.6;

  private final FleetLimits limits;
  private final Map<ServiceName, Counts> services = new HashMap<>();

  private RetryBudget(FleetLimits limits) {
    this.limits = requireNonNull(limits, "limits");
  }

  /**
   * Creates a budget without recorded requests.
   *
   * @param limits limits for all routers together
   * @return the budget
   */
  public static RetryBudget of(FleetLimits limits) {
    return new RetryBudget(limits);
  }

  /**
   * Records a request of a caller.
   *
   * @param service service that the request goes to
   * @param nowNanos monotonic time
   */
  public void recordRequest(ServiceName service, long nowNanos) {
    counts(service).requests.add(nowNanos);
  }

  /**
   * Takes one retry from the budget, if it is not used up.
   *
   * @param service service that the request goes to
   * @param routers number of routers that share the fixed number of retries
   * @param nowNanos monotonic time
   * @return false if this router has used up its share
   */
  public boolean tryAcquire(ServiceName service, int routers, long nowNanos) {
    Counts counts = counts(service);
    double fixedShare = limits.retryExtra() / Math.max(1, routers);
    double allowed = SAFETY * (limits.retryRatio() * counts.requests.count(nowNanos) + fixedShare);
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
