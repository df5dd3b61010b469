package org.dandelionbeam.dispatch;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.dandelionbeam.base.ModelId;
import org.dandelionbeam.base.NodeId;
import org.dandelionbeam.base.ServiceId;
import org.dandelionbeam.base.TeamId;
import org.dandelionbeam.base.UpstreamId;

/**
 * Ticket as its owner sees it.
 *
 * @param key its name
 * @param team the caller's team
 * @param service the service
 * @param kind index of the kind in the service
 * @param requirements what it demands of an upstream
 * @param prefixHash hash of the start of the prompt, 0 for none
 * @param costHint rough cost that the caller gave, 0 if unknown
 * @param queuedNanos monotonic time of arrival
 * @param deadlineNanos monotonic time after which the ticket is void
 */
public record QueuedTicket(
    TicketKey key,
    TeamId team,
    ServiceId service,
    int kind,
    Requirements requirements,
    long prefixHash,
    double costHint,
    long queuedNanos,
    long deadlineNanos) {

  private static final long NANOS_PER_MILLI = 1_000_000;

  /** Checks that all parts are there. */
  public QueuedTicket {
    requireNonNull(key, "key");
    requireNonNull(team, "team");
    requireNonNull(service, "service");
    requireNonNull(requirements, "requirements");
  }

  /**
   * Returns the ticket that an entry asks for.
   *
   * @param entry the node that asks
   * @param ask what it says
   * @param nowNanos monotonic time
   * @return the ticket
   */
  static QueuedTicket of(NodeId entry, DispatchMessage.Ask ask, long nowNanos) {
    Optional<ModelId> model =
        ask.model() == DispatchMessage.NO_MODEL
            ? Optional.empty()
            : Optional.of(ModelId.of(ask.model()));
    Set<UpstreamId> avoid =
        ask.avoid().stream().map(UpstreamId::of).collect(Collectors.toUnmodifiableSet());
    return new QueuedTicket(
        TicketKey.of(entry, ask.number()),
        TeamId.of(ask.team()),
        ServiceId.of(ask.service()),
        ask.kind(),
        new Requirements(model, avoid),
        ask.prefixHash(),
        ask.costHint(),
        nowNanos,
        nowNanos + ask.remainingMillis() * NANOS_PER_MILLI);
  }

  /**
   * Returns the ticket of an attempt that an earlier owner granted.
   *
   * @param entry the node that holds it
   * @param carried what it says
   * @param service the service
   * @param nowNanos monotonic time
   * @return a ticket with the parts that are known
   */
  static QueuedTicket of(
      NodeId entry, DispatchMessage.Carried carried, ServiceId service, long nowNanos) {
    return new QueuedTicket(
        TicketKey.of(entry, carried.number()),
        TeamId.of(carried.team()),
        service,
        0,
        Requirements.of(Optional.empty()),
        0,
        0,
        nowNanos,
        nowNanos + carried.remainingMillis() * NANOS_PER_MILLI);
  }
}
