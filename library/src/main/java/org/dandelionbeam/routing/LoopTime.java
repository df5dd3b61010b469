package org.dandelionbeam.routing;

import static java.util.Objects.requireNonNull;

import java.time.Duration;

/**
 * A moment as the event loop of a router knows it: by the clock, and by the number of its passes
 * over the sockets.
 *
 * <p>A loop that is late has messages in its sockets that it hasn't read. What it misses may be
 * among them, so it can't tell after one pass that another router is silent.
 *
 * @param nanos monotonic time
 * @param pass number of the pass
 */
public record LoopTime(long nanos, long pass) {
  /** The first pass may end before all sockets were read. */
  private static final int MIN_PASSES = 3;

  /**
   * Returns the moment of the next pass.
   *
   * @param nowNanos monotonic time
   * @return the moment
   */
  public LoopTime next(long nowNanos) {
    return new LoopTime(nowNanos, pass + 1);
  }

  /**
   * Returns a moment in the same pass.
   *
   * @param nowNanos monotonic time
   * @return the moment
   */
  public LoopTime at(long nowNanos) {
    return new LoopTime(nowNanos, pass);
  }

  /**
   * Tells whether a message that was due within some time is missing.
   *
   * @param timeout time from this moment on within which the message was due
   * @param now the current moment
   * @return true if the time is over and the loop has looked for the message since
   */
  public boolean isOverdue(Duration timeout, LoopTime now) {
    requireNonNull(timeout, "timeout");
    return now.nanos - nanos >= timeout.toNanos() && now.pass - pass >= MIN_PASSES;
  }
}
