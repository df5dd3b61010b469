package org.dandelionbeam.dispatch.wiring;

import java.util.Optional;
import org.dandelionbeam.base.ModelId;
import org.dandelionbeam.base.ServiceId;
import org.dandelionbeam.base.TeamId;
import org.dandelionbeam.dispatch.CostEstimates;
import org.dandelionbeam.dispatch.QueuedTicket;
import org.dandelionbeam.upstream.CostEstimator;

/**
 * Cost estimates from the measured costs of earlier requests.
 *
 * @param estimator keeps the running quantiles
 */
record MeasuredCosts(CostEstimator estimator) implements CostEstimates {

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
