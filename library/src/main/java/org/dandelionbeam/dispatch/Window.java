package org.dandelionbeam.dispatch;

import java.util.Optional;
import org.dandelionbeam.config.Upstream;
import org.dandelionbeam.membership.WindowState;

/** Admission window of one owned upstream. */
public interface Window {

  /**
   * Returns how many requests may be in flight.
   *
   * @return a limit of at least 0
   */
  int limit();

  /**
   * Tells whether the upstream is in a cold start.
   *
   * @return true while its cold limit holds
   */
  boolean isCold();

  /**
   * Notes that a request was granted.
   *
   * @param nowNanos monotonic time
   */
  void started(long nowNanos);

  /**
   * Notes that a granted request ended.
   *
   * @param outcome how it ended
   * @param cost measured cost, 0 if it did no work
   * @param firstByteNanos time to the first byte, 0 if none came
   * @param elapsedNanos time to the end
   * @param nowNanos monotonic time
   */
  void ended(
      DispatchPort.Outcome outcome,
      double cost,
      long firstByteNanos,
      long elapsedNanos,
      long nowNanos);

  /**
   * Returns what the other candidates should know.
   *
   * @return the state now
   */
  WindowState state();

  /** Makes windows. */
  @FunctionalInterface
  interface Factory {

    /**
     * Makes the window of an upstream that this node starts to own.
     *
     * @param upstream the upstream
     * @param inherited what the last owner published, empty if nothing is known
     * @return a window with nothing in flight
     */
    Window create(Upstream upstream, Optional<WindowState> inherited);
  }
}
