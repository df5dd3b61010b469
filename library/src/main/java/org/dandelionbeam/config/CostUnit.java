package org.dandelionbeam.config;

/** Unit in which the cost of a request of a service is measured. */
public enum CostUnit {
  /** Prompt and completion tokens, reported by the engine at the end of the response. */
  TOKENS {
    @Override
    public double cost(long tokens, long elapsedNanos) {
      return Math.max(1, tokens);
    }
  },
  /** Milliseconds from sending the request to the end of the response. */
  MILLISECONDS {
    @Override
    public double cost(long tokens, long elapsedNanos) {
      return Math.max(1, elapsedNanos / NANOS_PER_MILLISECOND);
    }
  },
  /** One per request. */
  CALLS {
    @Override
    public double cost(long tokens, long elapsedNanos) {
      return 1;
    }
  };

  private static final double NANOS_PER_MILLISECOND = 1e6;

  /**
   * Returns the cost of a finished request.
   *
   * @param tokens prompt and completion tokens; 0 if the upstream reports none
   * @param elapsedNanos nanoseconds from sending the request to the end of the response
   * @return the cost in this unit, at least 1
   */
  public abstract double cost(long tokens, long elapsedNanos);
}
