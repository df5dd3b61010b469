package org.dandelionbeam.dispatch.wiring;

import java.util.Optional;
import org.dandelionbeam.config.Upstream;
import org.dandelionbeam.dispatch.DispatchPort.Outcome;
import org.dandelionbeam.dispatch.Window;
import org.dandelionbeam.membership.WindowState;
import org.dandelionbeam.upstream.AdmissionWindow;
import org.dandelionbeam.upstream.LoadReport;

/**
 * Admission window of an owned upstream, adjusted by measurements.
 *
 * @param window the adjusted window
 */
record UpstreamWindow(AdmissionWindow window) implements Window {

  static UpstreamWindow of(Upstream upstream, Optional<WindowState> inherited) {
    return new UpstreamWindow(
        AdmissionWindow.of(upstream.window(), upstream.coldLimit(), inherited));
  }

  void loadReported(LoadReport report, long nowNanos) {
    window.reported(report, nowNanos);
  }

  @Override
  public int limit() {
    return window.limit();
  }

  @Override
  public boolean isCold() {
    return window.isCold();
  }

  @Override
  public void started(long nowNanos) {
    window.started(nowNanos);
  }

  @Override
  public void ended(
      Outcome outcome, double cost, long firstByteNanos, long elapsedNanos, long nowNanos) {
    window.ended(outcome, cost, firstByteNanos, elapsedNanos, nowNanos);
  }

  @Override
  public WindowState state() {
    return window.state();
  }
}
