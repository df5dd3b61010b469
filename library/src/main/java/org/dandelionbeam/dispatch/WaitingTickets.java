package org.dandelionbeam.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;
import org.dandelionbeam.base.RequestId;
import org.dandelionbeam.base.ServiceId;
import org.dandelionbeam.base.TeamId;

/**
 * Tickets of one entry without a grant or refusal, by request, by deadline and by service and team.
 */
final class WaitingTickets {
  private static final int MAX_EXAMINED_PER_TEAM = 64;

  private final Map<Key, WaitingTicket> byKey = new HashMap<>();
  private final TreeSet<WaitingTicket> byDeadline = new TreeSet<>();
  private final Map<ServiceId, LinkedHashMap<TeamId, Set<WaitingTicket>>> byTeam = new HashMap<>();

  void add(WaitingTicket ticket) {
    byKey.put(Key.of(ticket.request), ticket);
    byDeadline.add(ticket);
    byTeam
        .computeIfAbsent(ticket.request.service(), service -> new LinkedHashMap<>())
        .computeIfAbsent(ticket.request.team(), team -> new LinkedHashSet<>())
        .add(ticket);
  }

  void remove(WaitingTicket ticket) {
    byKey.remove(Key.of(ticket.request));
    byDeadline.remove(ticket);
    Map<TeamId, Set<WaitingTicket>> teams = byTeam.get(ticket.request.service());
    Set<WaitingTicket> tickets = teams.get(ticket.request.team());
    tickets.remove(ticket);
    if (tickets.isEmpty()) {
      teams.remove(ticket.request.team());
    }
  }

  WaitingTicket find(RequestId request, int attempt) {
    return byKey.get(new Key(request, attempt));
  }

  List<WaitingTicket> all() {
    return List.copyOf(byDeadline);
  }

  Set<ServiceId> services() {
    return byTeam.keySet();
  }

  int size() {
    return byKey.size();
  }

  List<WaitingTicket> expired(long nowNanos) {
    List<WaitingTicket> expired = new ArrayList<>();
    for (WaitingTicket ticket : byDeadline) {
      if (ticket.request.deadlineNanos() - nowNanos > 0) {
        break;
      }
      expired.add(ticket);
    }
    return expired;
  }

  /**
   * Picks tickets of one service, from each team in turn; the next call continues with the next
   * team.
   */
  List<WaitingTicket> pick(ServiceId service, int most, Predicate<WaitingTicket> wanted) {
    LinkedHashMap<TeamId, Set<WaitingTicket>> teams = byTeam.get(service);
    List<WaitingTicket> picked = new ArrayList<>();
    if (teams == null) {
      return picked;
    }
    int misses = 0;
    while (picked.size() < most && misses < teams.size()) {
      Set<WaitingTicket> next = nextTeam(teams);
      Optional<WaitingTicket> found =
          next.stream()
              .limit(MAX_EXAMINED_PER_TEAM)
              .filter(ticket -> !picked.contains(ticket) && wanted.test(ticket))
              .findFirst();
      found.ifPresent(picked::add);
      misses = found.isPresent() ? 0 : misses + 1;
    }
    return picked;
  }

  private static Set<WaitingTicket> nextTeam(LinkedHashMap<TeamId, Set<WaitingTicket>> teams) {
    Iterator<Map.Entry<TeamId, Set<WaitingTicket>>> first = teams.entrySet().iterator();
    Map.Entry<TeamId, Set<WaitingTicket>> team = first.next();
    first.remove();
    teams.put(team.getKey(), team.getValue());
    return team.getValue();
  }

  private record Key(RequestId request, int attempt) {
    static Key of(TicketRequest request) {
      return new Key(request.request(), request.attempt());
    }
  }
}
