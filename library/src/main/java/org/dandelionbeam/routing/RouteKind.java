package org.dandelionbeam.routing;

/** What the operators declared about repeating the requests of a route. */
public enum RouteKind {
  /** The answer is a series of events; it may be repeated only if it can be resumed. */
  STREAMING {
    @Override
    public boolean isIdempotent(boolean resumable) {
      return resumable;
    }
  },
  /** The request may run any number of times. */
  IDEMPOTENT {
    @Override
    public boolean isIdempotent(boolean resumable) {
      return true;
    }
  },
  /** The request may run once at most. */
  NON_IDEMPOTENT {
    @Override
    public boolean isIdempotent(boolean resumable) {
      return false;
    }
  };

  /**
   * Tells whether a request of this kind may run more than once.
   *
   * @param resumable whether the route's streams may be resumed
   * @return true if another run does no harm
   */
  public abstract boolean isIdempotent(boolean resumable);
}
