package org.dandelionbeam.walk;

import org.dandelionbeam.base.UpstreamId;
import org.dandelionbeam.dispatch.DispatchPort;
import org.dandelionbeam.dispatch.TicketRequest;

/**
 * A ticket, its only answer and, once granted, its request at the upstream. A second answer fails
 * the test.
 */
final class WalkTicket implements DispatchPort.Listener {
  final TicketRequest request;
  final WalkNode entry;
  UpstreamId upstream;
  boolean cancelled;
  boolean answered;
  long endNanos;
  private final WalkFleet fleet;

  WalkTicket(WalkFleet fleet, WalkNode entry, TicketRequest request) {
    this.fleet = fleet;
    this.entry = entry;
    this.request = request;
  }

  @Override
  public void granted(DispatchPort.Grant grant) {
    recordAnswer("granted " + grant.upstream());
    upstream = grant.upstream();
    fleet.start(this);
  }

  @Override
  public void refused(DispatchPort.Refusal refusal) {
    recordAnswer("refused " + refusal.code());
  }

  private void recordAnswer(String what) {
    fleet.addToTrace(entry.self() + " " + request.request() + " " + what);
    if (answered || cancelled) {
      throw new AssertionError("second answer for " + request.request() + ": " + what);
    }
    answered = true;
  }
}
