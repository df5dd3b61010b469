package org.dandelionbeam.dispatch;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.dandelionbeam.base.TeamId;

/** Counter and waiting tickets of one team in one queue. */
final class TeamQueue implements Comparable<TeamQueue> {
  final TeamId team;
  final Map<Requirements, LinkedHashMap<TicketKey, QueuedTicket>> tickets = new HashMap<>();
  double counter;

  /** Estimates of requests in flight, divided by weight; part of the counter. */
  double charged;

  double remoteUsageSeen;
  int waiting;
  int inFlight;

  TeamQueue(TeamId team, double counter, double remoteUsageSeen) {
    this.team = team;
    this.counter = counter;
    this.remoteUsageSeen = remoteUsageSeen;
  }

  boolean isIdle() {
    return waiting == 0 && inFlight == 0;
  }

  /** Returns the counter without requests in flight, whose cost is not known yet. */
  double counterWithoutInFlight() {
    return counter - charged;
  }

  void add(QueuedTicket ticket) {
    tickets
        .computeIfAbsent(ticket.requirements(), requirements -> new LinkedHashMap<>())
        .put(ticket.key(), ticket);
    waiting++;
  }

  void drop(QueuedTicket ticket) {
    Map<TicketKey, QueuedTicket> same = tickets.get(ticket.requirements());
    same.remove(ticket.key());
    if (same.isEmpty()) {
      tickets.remove(ticket.requirements());
    }
    waiting--;
  }

  void start(double estimate) {
    inFlight++;
    counter += estimate;
    charged += estimate;
  }

  void finish(double estimate, double cost) {
    inFlight = Math.max(0, inFlight - 1);
    counter += cost - estimate;
    charged = inFlight == 0 ? 0 : charged - estimate;
  }

  QueuedTicket head(Requirements requirements) {
    return tickets.get(requirements).values().iterator().next();
  }

  @Override
  public int compareTo(TeamQueue other) {
    int byCounter = Double.compare(counter, other.counter);
    return byCounter != 0 ? byCounter : team.compareTo(other.team);
  }
}
