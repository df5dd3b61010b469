package org.dandelionbeam.routing;

/** Configured kind of a route: whether its requests may be repeated. */
public enum RouteKind {
  /**
   * The response is a stream of events; a request may be repeated only if its stream can be
   * resumed.
   */
  STREAMING {
    @Override
    public boolean isIdempotent(boolean resumable) {
      return resumable;
    }
  },
  /** A request may run any number of times. */
  IDEMPOTENT {
    @Override
    public boolean isIdempotent(boolean resumable) {
      return true;
    }
  },
  /** A request may run at most once. */
  NON_IDEMPOTENT {
    @Override
    public boolean isIdempotent(boolean resumable) {
      return false;
    }
  };

  /**
   * Tells whether a request of this kind may run more than once.
   *
   * @param resumable whether streams of the route can be resumed at another upstream
   * @return true if another run is harmless
   */
  public abstract boolean isIdempotent(boolean resumable);
}
