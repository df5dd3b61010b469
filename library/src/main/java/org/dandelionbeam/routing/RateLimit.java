package org.dandelionbeam.routing;

/**
 * Requests per second that an upstream takes from all routers together.
 *
 * @param perSecond the rate, infinite if the upstream names none
 */
public record RateLimit(double perSecond) {
  /** The upstream names no limit. */
  public static final RateLimit NONE = new RateLimit(Double.POSITIVE_INFINITY);

  private static final double CLEAR_RATIO = 1.2;

  /**
   * Lowest rate that is respected. An upstream that got no request could not say that its limit has
   * changed.
   */
  private static final double MIN_PER_SECOND = 0.25;

  /**
   * Checks the rate.
   *
   * @throws IllegalArgumentException if it is negative or not a number
   */
  public RateLimit {
    if (!(perSecond >= 0)) {
      throw new IllegalArgumentException("rate must not be negative: " + perSecond);
    }
  }

  /**
   * Tells whether the upstream takes any rate.
   *
   * @return true for {@link #NONE}
   */
  public boolean isNone() {
    return Double.isInfinite(perSecond);
  }

  /** Tells whether a rate differs from this one so much that it is worth a line in the log. */
  boolean differsClearlyFrom(RateLimit other) {
    double smaller = Math.min(perSecond, other.perSecond);
    double larger = Math.max(perSecond, other.perSecond);
    return larger > CLEAR_RATIO * smaller;
  }

  /** Returns the rate at which requests are sent. */
  double usedPerSecond() {
    return Math.max(MIN_PER_SECOND, perSecond);
  }
}
