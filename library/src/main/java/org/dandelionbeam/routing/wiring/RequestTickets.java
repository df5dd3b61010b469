package org.dandelionbeam.routing.wiring;

import java.time.Duration;
import java.util.Optional;
import org.dandelionbeam.routing.RequestDigest;
import org.dandelionbeam.routing.RouteKind;
import org.dandelionbeam.routing.RouteRule;
import org.dandelionbeam.routing.TeamName;
import org.dandelionbeam.routing.Ticket;

/** Creates the tickets of requests for the scheduler. */
final class RequestTickets {
  /** Timeout of callers that don't announce one. */
  private static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(30);

  private RequestTickets() {}

  /**
   * Creates a ticket, whose deadline is the timeout of the route or of the caller, whichever is
   * shorter.
   */
  static Ticket create(
      RouterContext router,
      RouteRule route,
      TeamName team,
      HttpDialect.RequestMetadata metadata,
      RequestDigest digest,
      long arrivedNanos) {
    long timeoutNanos =
        Math.min(route.timeout().toNanos(), metadata.timeout().orElse(DEFAULT_TIMEOUT).toNanos());
    long objectiveNanos = Math.min(route.latencyObjective().toNanos(), timeoutNanos);
    boolean streams = route.kind() == RouteKind.STREAMING;
    return Ticket.builder(router.nextTicketNumber())
        .digest(Optional.of(digest))
        .from(router.fleet().members().self().domain())
        .firstOutputTimeout(streams ? route.firstOutputTimeout().toNanos() : timeoutNanos)
        .request(route.pickService(router::random), team, metadata.prompt())
        .times(arrivedNanos, arrivedNanos + objectiveNanos, arrivedNanos + timeoutNanos)
        .build();
  }
}
