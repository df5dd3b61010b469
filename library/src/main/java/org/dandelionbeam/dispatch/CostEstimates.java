package org.dandelionbeam.dispatch;

import java.util.Optional;
import org.dandelionbeam.base.ModelId;
import org.dandelionbeam.base.ServiceId;
import org.dandelionbeam.base.TeamId;

/** Cost estimates of requests, updated with measured costs. */
public interface CostEstimates {

  /**
   * Estimates the cost of a request.
   *
   * @param team the caller's team
   * @param service the requested service
   * @param kind index of the kind in the service
   * @param model the model, empty for plain services
   * @param hint rough cost stated by the caller in the service's unit, 0 if unknown
   * @return the estimated cost in the service's unit, above 0
   */
  double estimate(TeamId team, ServiceId service, int kind, Optional<ModelId> model, double hint);

  /**
   * Updates the estimates with the cost of a finished request.
   *
   * @param ticket ticket of the request
   * @param cost measured cost in the service's unit
   */
  void observed(QueuedTicket ticket, double cost);
}
