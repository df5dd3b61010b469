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
 * Ticket in the queue of an owner.
 *
 * @param key key of the ticket at the owner
 * @param team the caller's team
 * @param service the requested service
 * @param kind index of the kind in the service
 * @param requirements what an upstream must meet
 * @param prefixHash hash of the start of the prompt, 0 for none
 * @param costHint rough cost stated by the caller in the service's unit, 0 if unknown
 * @param queuedNanos monotonic time of arrival in nanoseconds
 * @param deadlineNanos monotonic time in nanoseconds after which the ticket is invalid
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

  /** Checks that no component is null. */
  public QueuedTicket {
    requireNonNull(key, "key");
    requireNonNull(team, "team");
    requireNonNull(service, "service");
    requireNonNull(requirements, "requirements");
  }

  /**
   * Returns the ticket of a message.
   *
   * @param entry node that sent the message
   * @param ask the message
   * @param nowNanos current monotonic time in nanoseconds
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
   * @param entry node that runs the attempt
   * @param carried message about the attempt
   * @param service service of the attempt's upstream
   * @param nowNanos current monotonic time in nanoseconds
   * @return a ticket with the known values; kind, prefix and cost hint are 0
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
