package org.dandelionbeam.scheduling;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import java.util.Set;
import org.dandelionbeam.base.FailureDomain;
import org.dandelionbeam.routing.RequestContent;
import org.dandelionbeam.routing.ServiceName;
import org.dandelionbeam.routing.SoftwareVersion;
import org.dandelionbeam.routing.TeamName;
import org.dandelionbeam.routing.Ticket;

/**
 * A request as it is submitted to a scheduler. Times are relative, since routers have different
 * clocks.
 *
 * @param service service that the request goes to
 * @param team team that the request belongs to
 * @param content what the upstream gets to work on
 * @param domain failure domain of the router of the caller
 * @param version software version that alone may serve it, empty if any may
 * @param upstream number of the upstream that the router of the caller prefers
 * @param excluded numbers of the upstreams that must not get the request
 * @param ageNanos time since its arrival
 * @param waitedNanos time since it waits for an upstream
 * @param objectiveNanos time from its arrival within which the latency objective wants a response
 * @param deadlineNanos time from its arrival for which the caller waits
 * @param firstOutputTimeoutNanos time from its arrival for which the caller waits for output
 */
public record Submission(
    ServiceName service,
    TeamName team,
    RequestContent content,
    FailureDomain domain,
    Optional<SoftwareVersion> version,
    int upstream,
    Set<Integer> excluded,
    long ageNanos,
    long waitedNanos,
    long objectiveNanos,
    long deadlineNanos,
    long firstOutputTimeoutNanos) {

  /** Copies the set. */
  public Submission {
    requireNonNull(service, "service");
    requireNonNull(team, "team");
    requireNonNull(content, "content");
    requireNonNull(domain, "domain");
    requireNonNull(version, "version");
    excluded = Set.copyOf(excluded);
  }

  /** Returns the submission of a ticket. */
  static Submission of(
      Ticket ticket, FailureDomain domain, int upstream, Set<Integer> excluded, long nowNanos) {
    return new Submission(
        ticket.service(),
        ticket.team(),
        ticket.content(),
        domain,
        ticket.requiredVersion(),
        upstream,
        excluded,
        nowNanos - ticket.arrivedNanos(),
        nowNanos - ticket.submittedNanos(),
        ticket.objectiveNanos() - ticket.arrivedNanos(),
        ticket.deadlineNanos() - ticket.arrivedNanos(),
        ticket.firstOutputTimeoutNanos());
  }

  /** Returns the ticket of this submission at its scheduler. */
  Ticket toTicket(long number, long nowNanos) {
    long arrived = nowNanos - ageNanos;
    Ticket ticket =
        Ticket.builder(number)
            .request(service, team, content.prompt())
            .digest(content.digest())
            .from(domain)
            .requiredVersion(version)
            .times(arrived, arrived + objectiveNanos, arrived + deadlineNanos)
            .submitted(nowNanos - waitedNanos)
            .firstOutputTimeout(firstOutputTimeoutNanos)
            .build();
    excluded.forEach(ticket::exclude);
    return ticket;
  }
}
