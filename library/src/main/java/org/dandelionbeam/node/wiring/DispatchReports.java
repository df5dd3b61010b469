package org.dandelionbeam.node.wiring;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.Set;
import org.dandelionbeam.base.ModelId;
import org.dandelionbeam.base.UpstreamId;
import org.dandelionbeam.dispatch.wiring.DispatchManager;
import org.dandelionbeam.upstream.CacheEvent;
import org.dandelionbeam.upstream.LoadReport;
import org.dandelionbeam.upstream.wiring.UpstreamPoller;

/** Gives what engines report to the dispatch duty. */
final class DispatchReports implements UpstreamPoller.Listener {
  private final DispatchManager dispatch;

  DispatchReports(DispatchManager dispatch) {
    this.dispatch = requireNonNull(dispatch, "dispatch");
  }

  @Override
  public void loadReported(UpstreamId engine, LoadReport report) {
    dispatch.loadReported(engine, report);
  }

  @Override
  public void modelsReported(UpstreamId engine, Set<ModelId> models) {
    // Requests go by the models of the configuration.
  }

  @Override
  public void cacheChanged(List<CacheEvent> events) {
    events.forEach(dispatch::cacheChanged);
  }
}
