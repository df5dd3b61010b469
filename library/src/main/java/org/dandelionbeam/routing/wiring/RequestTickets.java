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

  /** Returns the timeout of the route or of the caller, whichever is shorter. */
  static Duration timeout(RouteRule route, HttpDialect.RequestMetadata metadata) {
    Duration ofCaller = metadata.timeout().orElse(DEFAULT_TIMEOUT);
    return ofCaller.compareTo(route.timeout()) < 0 ? ofCaller : route.timeout();
  }

  /** Creates a ticket, whose deadline is the end of the {@link #timeout}. */
  static Ticket create(
      RouterContext router,
      RouteRule route,
      TeamName team,
      HttpDialect.RequestMetadata metadata,
      RequestDigest digest,
      long arrivedNanos) {
    long timeoutNanos = timeout(route, metadata).toNanos();
    long objectiveNanos = Math.min(route.latencyObjective().toNanos(), timeoutNanos);
    boolean streams = route.kind() == RouteKind.STREAMING;
    return Ticket.builder(router.nextTicketNumber())
        .digest(Optional.of(digest))
        .from(router.fleet().members().self().domain())
        .resumable(streams && route.isIdempotent())
        .firstOutputTimeout(streams ? route.firstOutputTimeout().toNanos() : timeoutNanos)
        .request(route.pickService(router::random), team, metadata.prompt())
        .times(arrivedNanos, arrivedNanos + objectiveNanos, arrivedNanos + timeoutNanos)
        .build();
  }
}
