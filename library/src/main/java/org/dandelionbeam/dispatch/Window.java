package org.dandelionbeam.dispatch;

import java.util.Optional;
import org.dandelionbeam.config.Upstream;
import org.dandelionbeam.membership.WindowState;

/** Admission window of one owned upstream. */
public interface Window {

  /**
   * Returns the most requests that may be in flight.
   *
   * @return a limit of at least 0
   */
  int limit();

  /**
   * Tells whether the upstream is cold.
   *
   * @return true while its cold limit applies
   */
  boolean isCold();

  /**
   * Records that a request was granted.
   *
   * @param nowNanos current monotonic time in nanoseconds
   */
  void started(long nowNanos);

  /**
   * Records that a granted request ended.
   *
   * @param outcome how it ended
   * @param cost measured cost in the service's unit, 0 if it did no work
   * @param firstByteNanos time to the first byte, 0 if none came
   * @param elapsedNanos time to the end
   * @param nowNanos current monotonic time in nanoseconds
   */
  void ended(
      DispatchPort.Outcome outcome,
      double cost,
      long firstByteNanos,
      long elapsedNanos,
      long nowNanos);

  /**
   * Returns the state to share with the other candidates for owning the upstream.
   *
   * @return the present state
   */
  WindowState state();

  /** Creates windows. */
  @FunctionalInterface
  interface Factory {

    /**
     * Creates the window of an upstream that this node starts to own.
     *
     * @param upstream the upstream
     * @param inherited state that the last owner published, empty if unknown
     * @return a window with nothing in flight
     */
    Window create(Upstream upstream, Optional<WindowState> inherited);
  }
}
