package org.dandelionbeam.membership;

/**
 * Numbers of slots of one upstream. Each slot allows one request in flight.
 *
 * @param warm maximum number of requests in flight while the upstream is warm
 * @param cold maximum number of requests in flight while the upstream is cold, at most {@code warm}
 */
public record Slots(int warm, int cold) {
  private static final Slots NONE = new Slots(0, 0);

  /** Checks that the limits are not negative and {@code cold} does not exceed {@code warm}. */
  public Slots {
    if (cold < 0 || warm < cold) {
      throw new IllegalArgumentException(
          "slots must satisfy 0 <= cold <= warm, but cold = " + cold + " and warm = " + warm);
    }
  }

  /**
   * Returns no slots, for a node that may not use the upstream.
   *
   * @return zero warm and cold slots
   */
  public static Slots none() {
    return NONE;
  }
}
