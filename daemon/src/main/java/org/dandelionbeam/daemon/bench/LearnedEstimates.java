package org.dandelionbeam.daemon.bench;

import java.util.Optional;
import org.dandelionbeam.base.ModelId;
import org.dandelionbeam.base.ServiceId;
import org.dandelionbeam.base.TeamId;
import org.dandelionbeam.dispatch.CostEstimates;
import org.dandelionbeam.dispatch.QueuedTicket;
import org.dandelionbeam.upstream.CostEstimator;

/** Cost estimates that one owner learns from finished requests. */
record LearnedEstimates(CostEstimator estimator) implements CostEstimates {
  @Override
  public double estimate(
      TeamId team, ServiceId service, int kind, Optional<ModelId> model, double hint) {
    return estimator.estimate(team, service, kind, model, hint);
  }

  @Override
  public void observed(QueuedTicket ticket, double cost) {
    estimator.observed(
        ticket.team(), ticket.service(), ticket.kind(), ticket.requirements().model(), cost);
  }
}
