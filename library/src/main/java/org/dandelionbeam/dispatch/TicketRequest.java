package org.dandelionbeam.dispatch;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import java.util.Set;
import org.dandelionbeam.base.ModelId;
import org.dandelionbeam.base.RequestId;
import org.dandelionbeam.base.ServiceId;
import org.dandelionbeam.base.TeamId;
import org.dandelionbeam.base.UpstreamId;

/**
 * Request of an entry to send one attempt of a caller's request to any upstream of a service.
 *
 * @param request the caller's request
 * @param attempt number of the attempt, from 1
 * @param team the caller's team
 * @param service the requested service
 * @param kind index of the kind in the service
 * @param model the model, empty for plain services
 * @param prefixHash hash of the start of the prompt for cache affinity, 0 for none
 * @param costHint rough cost in the service's unit, 0 if unknown
 * @param deadlineNanos monotonic time of this node in nanoseconds after which the ticket is invalid
 * @param avoid upstreams on which earlier attempts failed
 */
public record TicketRequest(
    RequestId request,
    int attempt,
    TeamId team,
    ServiceId service,
    int kind,
    Optional<ModelId> model,
    long prefixHash,
    double costHint,
    long deadlineNanos,
    Set<UpstreamId> avoid) {

  /** Checks that no component is null and copies the set. */
  public TicketRequest {
    requireNonNull(request, "request");
    requireNonNull(team, "team");
    requireNonNull(service, "service");
    requireNonNull(model, "model");
    avoid = Set.copyOf(avoid);
  }
}
