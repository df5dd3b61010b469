package org.dandelionbeam.dispatch;

import java.util.HashSet;
import java.util.Set;
import org.dandelionbeam.base.NodeId;
import org.dandelionbeam.base.UpstreamId;

/**
 * Granted attempt of this entry that has not ended, with the owners that count it and those to
 * notify of its end.
 */
final class RunningAttempt {
  final long number;
  final TicketRequest request;
  final UpstreamId upstream;
  final Set<NodeId> countingOwners = new HashSet<>();
  final Set<NodeId> notifiedOwners = new HashSet<>();

  RunningAttempt(long number, TicketRequest request, UpstreamId upstream, NodeId owner) {
    this.number = number;
    this.request = request;
    this.upstream = upstream;
    countingOwners.add(owner);
    notifiedOwners.add(owner);
  }
}
