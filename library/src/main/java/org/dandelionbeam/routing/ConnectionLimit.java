package org.dandelionbeam.routing;

/**
 * Limits the idle connections of callers, so that a router has sockets left for new ones.
 *
 * @param sockets sockets that the router may have open, those to upstreams included
 */
public record ConnectionLimit(int sockets) {
  /** Share of the sockets up to which callers may keep their connections after a response. */
  private static final double KEPT_SHARE = 0.4;

  /** Share of the sockets above which idle connections are closed. */
  private static final double MAX_SHARE = 0.7;

  /**
   * Checks the number.
   *
   * @throws IllegalArgumentException if it is not positive
   */
  public ConnectionLimit {
    if (sockets <= 0) {
      throw new IllegalArgumentException("sockets must be positive: " + sockets);
    }
  }

  /**
   * Tells whether a connection may be kept after a response.
   *
   * @param open open connections of callers
   * @return false if the caller should close it
   */
  public boolean mayKeep(int open) {
    return open <= KEPT_SHARE * sockets;
  }

  /**
   * Returns how many connections should be closed as soon as they are idle.
   *
   * @param open open connections of callers
   * @return 0 unless most of the sockets are in use
   */
  public int excess(int open) {
    return open <= MAX_SHARE * sockets ? 0 : open - (int) (KEPT_SHARE * sockets);
  }
}
