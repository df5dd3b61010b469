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

/** Forwards reports of engines to the {@link DispatchManager}. */
final class EngineReportForwarder implements UpstreamPoller.Listener {
  private final DispatchManager dispatch;

  EngineReportForwarder(DispatchManager dispatch) {
    this.dispatch = requireNonNull(dispatch, "dispatch");
  }

  @Override
  public void loadReported(UpstreamId engine, LoadReport report) {
    dispatch.loadReported(engine, report);
  }

  @Override
  public void modelsReported(UpstreamId engine, Set<ModelId> models) {
    // Dispatch uses the models that the configuration names.
  }

  @Override
  public void cacheChanged(List<CacheEvent> events) {
    events.forEach(dispatch::cacheChanged);
  }
}
