package org.dandelionbeam.daemon.bench;

import org.dandelionbeam.dispatch.DispatchPort.Outcome;
import org.dandelionbeam.dispatch.Window;
import org.dandelionbeam.membership.WindowState;

/** Window of a warm engine; its limit never changes. */
record FixedWindow(int limit) implements Window {
  @Override
  public boolean isCold() {
    return false;
  }

  @Override
  public void started(long nowNanos) {
    // The limit is fixed.
  }

  @Override
  public void ended(
      Outcome outcome, double cost, long firstByteNanos, long elapsedNanos, long nowNanos) {
    // The limit is fixed.
  }

  @Override
  public WindowState state() {
    return new WindowState(false, limit);
  }
}
