package org.dandelionbeam.routing;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Rate limits that upstreams have named in their responses, to this router or to another one.
 *
 * <p>The latest response counts, whichever router got it. Not thread-safe.
 */
public final class RateLimits {
  /** An upstream that gets no requests can't repeat its limit. */
  private static final Duration MAX_AGE = Duration.ofSeconds(60);

  /**
   * Responses without a limit may have been under way for this long when the upstream named one.
   */
  private static final Duration MIN_NAMED_TIME = Duration.ofSeconds(1);

  private final Map<Integer, Named> latest = new HashMap<>();

  private RateLimits() {}

  /**
   * Creates a record without limits.
   *
   * @return the record
   */
  public static RateLimits create() {
    return new RateLimits();
  }

  private record Named(RateLimit limit, long atNanos) {
    Duration age(long nowNanos) {
      return Duration.ofNanos(Math.max(0, nowNanos - atNanos));
    }
  }

  /**
   * A limit as reported by a router.
   *
   * @param limit the limit, {@link RateLimit#NONE} if the upstream has named one before and no
   *     longer does
   * @param age time since the response
   */
  public record Reported(RateLimit limit, Duration age) {

    /** Checks the arguments. */
    public Reported {
      requireNonNull(limit, "limit");
      requireNonNull(age, "age");
    }
  }

  /**
   * Records what a response says of the limit.
   *
   * @param upstream number of the upstream
   * @param limit limit that the response names
   * @param nowNanos monotonic time
   * @return true if the limit differs clearly from the one known before
   */
  public boolean recordResponse(int upstream, RateLimit limit, long nowNanos) {
    RateLimit before = limitOf(upstream, nowNanos);
    Named named = latest.get(upstream);
    boolean mayBeOlder =
        limit.isNone() && (named == null || named.age(nowNanos).compareTo(MIN_NAMED_TIME) < 0);
    if (!mayBeOlder) {
      latest.put(upstream, new Named(limit, nowNanos));
    }
    return before.differsClearlyFrom(limitOf(upstream, nowNanos));
  }

  /**
   * Records limits that other routers know.
   *
   * @param limits limits by number of the upstream
   * @param nowNanos monotonic time
   */
  public void recordReported(Map<Integer, Reported> limits, long nowNanos) {
    limits.forEach(
        (upstream, reported) -> {
          long atNanos = nowNanos - reported.age.toNanos();
          Named known = latest.get(upstream);
          if (known == null || atNanos - known.atNanos > 0) {
            latest.put(upstream, new Named(reported.limit, atNanos));
          }
        });
  }

  /**
   * Returns what is known, for reports to other routers.
   *
   * @param nowNanos monotonic time
   * @return limits by number of the upstream
   */
  public Map<Integer, Reported> known(long nowNanos) {
    latest.values().removeIf(named -> named.age(nowNanos).compareTo(MAX_AGE) > 0);
    Map<Integer, Reported> known = new HashMap<>();
    latest.forEach(
        (upstream, named) -> known.put(upstream, new Reported(named.limit, named.age(nowNanos))));
    return known;
  }

  /**
   * Returns the limit of an upstream.
   *
   * @param upstream number of the upstream
   * @param nowNanos monotonic time
   * @return the limit, {@link RateLimit#NONE} if it has none
   */
  public RateLimit limitOf(int upstream, long nowNanos) {
    Named named = latest.get(upstream);
    return named == null || named.age(nowNanos).compareTo(MAX_AGE) > 0
        ? RateLimit.NONE
        : named.limit;
  }

  /**
   * Returns the number of upstreams that have a limit.
   *
   * @param nowNanos monotonic time
   * @return number of limits
   */
  public int count(long nowNanos) {
    return (int)
        latest.keySet().stream().filter(upstream -> !limitOf(upstream, nowNanos).isNone()).count();
  }
}
