package org.dandelionbeam.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.dandelionbeam.base.NodeId;

/** Ticket of this entry without a grant or refusal. */
final class WaitingTicket implements Comparable<WaitingTicket> {
  private static final long RETRY_INTERVAL_NANOS = Duration.ofMillis(200).toNanos();

  final long sequence;
  final TicketRequest request;
  final Requirements requirements;
  final DispatchPort.Listener listener;
  final long submittedNanos;
  final List<Placement> placements = new ArrayList<>(2);
  final Set<NodeId> refusedBy = new HashSet<>();
  long retryMillis;
  private Optional<Long> unplacedSinceNanos = Optional.empty();
  private long nextTryNanos;

  WaitingTicket(
      long sequence, TicketRequest request, DispatchPort.Listener listener, long nowNanos) {
    this.sequence = sequence;
    this.request = request;
    this.listener = listener;
    requirements = new Requirements(request.model(), request.avoid());
    submittedNanos = nowNanos;
  }

  boolean isPlacedAt(NodeId owner) {
    return placements.stream().anyMatch(placement -> placement.owner.equals(owner));
  }

  /** Records that an owner has queued the ticket. */
  void placed() {
    unplacedSinceNanos = Optional.empty();
  }

  /** Returns for how long no owner has been found for the ticket, and schedules the next try. */
  long unplacedFor(long nowNanos) {
    long since = unplacedSinceNanos.orElse(nowNanos);
    unplacedSinceNanos = Optional.of(since);
    nextTryNanos = nowNanos + RETRY_INTERVAL_NANOS;
    return nowNanos - since;
  }

  boolean isRetryDue(long nowNanos) {
    return unplacedSinceNanos.isEmpty() || nowNanos - nextTryNanos >= 0;
  }

  @Override
  public int compareTo(WaitingTicket other) {
    int byDeadline = Long.compare(request.deadlineNanos() - other.request.deadlineNanos(), 0);
    return byDeadline != 0 ? byDeadline : Long.compare(sequence, other.sequence);
  }
}
