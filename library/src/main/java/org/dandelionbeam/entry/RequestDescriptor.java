package org.dandelionbeam.entry;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import org.dandelionbeam.base.ModelId;
import org.dandelionbeam.base.RequestId;
import org.dandelionbeam.base.ServiceId;
import org.dandelionbeam.base.TeamId;

/**
 * Attributes of a request that are known before its first attempt and stay the same for all
 * attempts.
 *
 * @param request id of the request
 * @param team the caller's team
 * @param service the service
 * @param kind index of the request kind in the service
 * @param idempotent whether requests of the kind may run more than once
 * @param model the model, empty for plain services
 * @param prefixHash hash of the start of the prompt, 0 for none
 * @param costHint estimated cost in the cost unit of the service, 0 if unknown
 * @param deadlineNanos monotonic time of the deadline in nanoseconds
 */
public record RequestDescriptor(
    RequestId request,
    TeamId team,
    ServiceId service,
    int kind,
    boolean idempotent,
    Optional<ModelId> model,
    long prefixHash,
    double costHint,
    long deadlineNanos) {

  /** Rejects missing components. */
  public RequestDescriptor {
    requireNonNull(request, "request");
    requireNonNull(team, "team");
    requireNonNull(service, "service");
    requireNonNull(model, "model");
  }
}
