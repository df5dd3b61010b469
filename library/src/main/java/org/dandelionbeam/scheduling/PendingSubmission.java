package org.dandelionbeam.scheduling;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import org.dandelionbeam.routing.Decision;
import org.dandelionbeam.routing.FleetMembers.Member;
import org.dandelionbeam.routing.LoopTime;
import org.dandelionbeam.routing.Ticket;

/** A request that was submitted to a scheduler and has not ended. */
final class PendingSubmission {
  /** State of a submission. */
  enum State {
    SUBMITTED,
    WAITING,
    GRANTED
  }

  final Ticket ticket;
  State state = State.SUBMITTED;
  Member scheduler;
  LoopTime sent;
  Optional<Decision.Granted> grant = Optional.empty();
  boolean outputSeen;

  PendingSubmission(Ticket ticket) {
    this.ticket = requireNonNull(ticket, "ticket");
  }

  ScheduleRequest.Running running() {
    Decision.Granted granted = grant.orElseThrow();
    return new ScheduleRequest.Running(
        ticket.number(),
        ticket.content().digest(),
        granted.instance().number(),
        granted.addedLoad(),
        outputSeen);
  }
}
