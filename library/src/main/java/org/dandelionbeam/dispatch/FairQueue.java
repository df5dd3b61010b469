package org.dandelionbeam.dispatch;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Predicate;
import org.dandelionbeam.base.ServiceId;
import org.dandelionbeam.base.TeamId;

/**
 * Start-time fair queue of the tickets of one service at one owner.
 *
 * <p>Each team has a counter of its usage divided by its weight, which includes its usage at other
 * owners. The oldest ticket of the team with the smallest counter is served first; its estimated
 * cost is charged when it starts and corrected when it ends. Every operation takes logarithmic time
 * in the number of teams and linear time in the number of distinct requirements.
 */
public final class FairQueue {
  private static final int MAX_PRUNED_PER_ARRIVAL = 2;
  private static final Comparator<QueuedTicket> BY_DEADLINE =
      Comparator.comparingLong(QueuedTicket::deadlineNanos).thenComparing(QueuedTicket::key);

  private final ServiceId service;
  private final TeamPolicy policy;
  private final RemoteUsage remoteUsage;
  private final Map<TeamId, TeamQueue> teamQueues = new HashMap<>();
  private final Map<TicketKey, QueuedTicket> byKey = new HashMap<>();
  private final Map<Requirements, TreeSet<TeamQueue>> byRequirements = new HashMap<>();
  private final TreeSet<TeamQueue> backlogged = new TreeSet<>();
  private final TreeSet<TeamQueue> idle = new TreeSet<>();
  private final TreeSet<QueuedTicket> deadlines = new TreeSet<>(BY_DEADLINE);
  private double lastStartTag;
  private double maxLead = Double.MAX_VALUE;

  private FairQueue(ServiceId service, TeamPolicy policy, RemoteUsage remoteUsage) {
    this.service = requireNonNull(service, "service");
    this.policy = requireNonNull(policy, "policy");
    this.remoteUsage = requireNonNull(remoteUsage, "remoteUsage");
  }

  /**
   * Returns an empty queue.
   *
   * @param service service that the tickets ask for
   * @param policy weights and queue limits of teams
   * @param remoteUsage usage of teams at other owners
   * @return the queue
   */
  public static FairQueue of(ServiceId service, TeamPolicy policy, RemoteUsage remoteUsage) {
    return new FairQueue(service, policy, remoteUsage);
  }

  /**
   * Adds a ticket behind the other tickets of its team with the same requirements.
   *
   * @param ticket the ticket; a second one with the same key is ignored
   * @return false if the team's queue is full
   */
  public boolean offer(QueuedTicket ticket) {
    if (byKey.containsKey(ticket.key())) {
      return true;
    }
    TeamQueue teamQueue = teamQueues.get(ticket.team());
    int waiting = teamQueue == null ? 0 : teamQueue.waiting;
    if (waiting >= policy.maxQueued(ticket.team())) {
      return false;
    }
    TeamQueue ready = teamQueue == null ? newTeamQueue(ticket.team()) : teamQueue;
    if (ready.waiting == 0) {
      activate(ready);
    }
    append(ready, ticket);
    prune();
    return true;
  }

  /**
   * Returns the ticket to serve next.
   *
   * @param servable tells which requirements an upstream with free slots meets
   * @return the oldest servable ticket of the team with the smallest counter, empty if none is
   *     servable
   */
  public Optional<QueuedTicket> head(Predicate<Requirements> servable) {
    TeamQueue best = null;
    QueuedTicket ticket = null;
    for (Map.Entry<Requirements, TreeSet<TeamQueue>> entry : byRequirements.entrySet()) {
      if (!servable.test(entry.getKey())) {
        continue;
      }
      TeamQueue teamQueue = firstUpToDate(entry.getValue());
      QueuedTicket candidate = teamQueue.head(entry.getKey());
      if (best == null || isBefore(teamQueue, candidate, best, ticket)) {
        best = teamQueue;
        ticket = candidate;
      }
    }
    return Optional.ofNullable(ticket);
  }

  /**
   * Removes a ticket and charges its estimated cost to its team.
   *
   * @param ticket a waiting ticket
   * @param estimate estimated cost of the request
   */
  public void start(QueuedTicket ticket, double estimate) {
    TeamQueue teamQueue = teamQueues.get(ticket.team());
    if (teamQueue == null || byKey.remove(ticket.key()) == null) {
      throw new IllegalArgumentException("ticket is not waiting in this queue: " + ticket.key());
    }
    lastStartTag = Math.max(lastStartTag, teamQueue.counterWithoutInFlight());
    unlink(teamQueue);
    teamQueue.drop(ticket);
    teamQueue.start(estimate / policy.weight(teamQueue.team));
    link(teamQueue);
    forget(ticket);
  }

  /**
   * Charges a team for a running request that did not wait in this queue.
   *
   * @param team the team
   * @param estimate estimated cost of the request
   */
  public void adopt(TeamId team, double estimate) {
    TeamQueue teamQueue = teamQueues.containsKey(team) ? teamQueues.get(team) : newTeamQueue(team);
    unlink(teamQueue);
    teamQueue.start(estimate / policy.weight(teamQueue.team));
    link(teamQueue);
  }

  /**
   * Corrects the charge of a request that ended.
   *
   * @param team team of the request
   * @param estimate estimated cost that was charged
   * @param cost measured cost, 0 if it did no work
   */
  public void finish(TeamId team, double estimate, double cost) {
    TeamQueue teamQueue = teamQueues.get(team);
    if (teamQueue == null) {
      return;
    }
    double weight = policy.weight(teamQueue.team);
    unlink(teamQueue);
    teamQueue.finish(estimate / weight, cost / weight);
    link(teamQueue);
  }

  /**
   * Removes a ticket without a charge.
   *
   * @param key key of the ticket
   * @return the ticket, empty if it does not wait
   */
  public Optional<QueuedTicket> remove(TicketKey key) {
    QueuedTicket ticket = byKey.remove(key);
    if (ticket != null) {
      TeamQueue teamQueue = teamQueues.get(ticket.team());
      unlink(teamQueue);
      teamQueue.drop(ticket);
      link(teamQueue);
      forget(ticket);
    }
    return Optional.ofNullable(ticket);
  }

  /**
   * Removes the tickets whose deadline has passed.
   *
   * @param nowNanos current monotonic time in nanoseconds
   * @return the removed tickets, earliest deadline first
   */
  public List<QueuedTicket> expire(long nowNanos) {
    List<QueuedTicket> expired = new ArrayList<>();
    while (!deadlines.isEmpty() && deadlines.first().deadlineNanos() - nowNanos <= 0) {
      QueuedTicket ticket = deadlines.first();
      remove(ticket.key());
      expired.add(ticket);
    }
    return expired;
  }

  /**
   * Returns the waiting tickets.
   *
   * @return a copy, earliest deadline first
   */
  public List<QueuedTicket> tickets() {
    return List.copyOf(deadlines);
  }

  /**
   * Returns a waiting ticket.
   *
   * @param key key of the ticket
   * @return the ticket, empty if it does not wait
   */
  public Optional<QueuedTicket> find(TicketKey key) {
    return Optional.ofNullable(byKey.get(key));
  }

  /**
   * Returns the number of waiting tickets.
   *
   * @return the count
   */
  public int size() {
    return byKey.size();
  }

  /**
   * Returns the number of teams with waiting tickets.
   *
   * @return the count
   */
  public int backloggedTeams() {
    return backlogged.size();
  }

  /**
   * Returns the number of waiting tickets of a team.
   *
   * @param team the team
   * @return the count
   */
  public int waiting(TeamId team) {
    return teamQueues.containsKey(team) ? teamQueues.get(team).waiting : 0;
  }

  /**
   * Returns the number of teams whose counter is kept.
   *
   * @return the count, including idle teams whose counter is above the virtual time
   */
  public int teams() {
    return teamQueues.size();
  }

  /**
   * Returns the virtual time of the queue.
   *
   * @return the smallest counter of the teams with waiting tickets; while none waits, the largest
   *     start tag of a served ticket
   */
  public double virtualTime() {
    return backlogged.isEmpty() ? lastStartTag : backlogged.first().counter;
  }

  /**
   * Advances the virtual time to that of another owner of the service while no team waits here.
   *
   * @param virtualTime virtual time of another owner
   */
  public void advanceTo(double virtualTime) {
    if (backlogged.isEmpty()) {
      lastStartTag = Math.max(lastStartTag, virtualTime);
    }
  }

  /**
   * Limits how far usage at other owners can put a team that returns from idle behind the waiting
   * teams.
   *
   * @param value limit of the lead over the virtual time, as usage divided by weight
   */
  public void maxLead(double value) {
    maxLead = value;
  }

  private static boolean isBefore(
      TeamQueue teamQueue, QueuedTicket ticket, TeamQueue best, QueuedTicket other) {
    int order = teamQueue.compareTo(best);
    return order < 0 || (order == 0 && ticket.queuedNanos() - other.queuedNanos() < 0);
  }

  private TeamQueue newTeamQueue(TeamId team) {
    double seen = remoteUsage.remoteUsage(service, team);
    TeamQueue teamQueue = new TeamQueue(team, startCounter(), seen);
    teamQueues.put(team, teamQueue);
    link(teamQueue);
    return teamQueue;
  }

  private void activate(TeamQueue teamQueue) {
    double now = startCounter();
    unlink(teamQueue);
    double own = teamQueue.counter;
    teamQueue.counter = Math.max(own, Math.min(own + takeNewRemoteUsage(teamQueue), now + maxLead));
    teamQueue.counter = Math.max(teamQueue.counter, now);
    link(teamQueue);
  }

  /**
   * Returns the smallest counter of a team that returns from idle.
   *
   * <p>Estimates of requests in flight are left out. Otherwise the refund of an estimate that was
   * too high would put the charged team ahead of the teams that arrived in the meantime.
   */
  private double startCounter() {
    return backlogged.isEmpty() ? lastStartTag : backlogged.first().counterWithoutInFlight();
  }

  private double takeNewRemoteUsage(TeamQueue teamQueue) {
    double total = remoteUsage.remoteUsage(service, teamQueue.team);
    double difference = Math.max(0, total - teamQueue.remoteUsageSeen);
    teamQueue.remoteUsageSeen = Math.max(total, teamQueue.remoteUsageSeen);
    return difference / policy.weight(teamQueue.team);
  }

  private TeamQueue firstUpToDate(TreeSet<TeamQueue> queue) {
    while (true) {
      TeamQueue teamQueue = queue.first();
      double difference = takeNewRemoteUsage(teamQueue);
      if (difference == 0) {
        return teamQueue;
      }
      setCounter(teamQueue, teamQueue.counter + difference);
    }
  }

  private void append(TeamQueue teamQueue, QueuedTicket ticket) {
    byRequirements.computeIfAbsent(ticket.requirements(), requirements -> new TreeSet<>());
    unlink(teamQueue);
    teamQueue.add(ticket);
    link(teamQueue);
    byKey.put(ticket.key(), ticket);
    deadlines.add(ticket);
  }

  private void forget(QueuedTicket ticket) {
    deadlines.remove(ticket);
    if (byRequirements.get(ticket.requirements()).isEmpty()) {
      byRequirements.remove(ticket.requirements());
    }
  }

  private void setCounter(TeamQueue teamQueue, double counter) {
    unlink(teamQueue);
    teamQueue.counter = counter;
    link(teamQueue);
  }

  private void unlink(TeamQueue teamQueue) {
    idle.remove(teamQueue);
    backlogged.remove(teamQueue);
    for (Requirements requirements : teamQueue.tickets.keySet()) {
      byRequirements.get(requirements).remove(teamQueue);
    }
  }

  private void link(TeamQueue teamQueue) {
    if (teamQueue.isIdle()) {
      idle.add(teamQueue);
    }
    if (teamQueue.waiting > 0) {
      backlogged.add(teamQueue);
    }
    for (Requirements requirements : teamQueue.tickets.keySet()) {
      byRequirements.get(requirements).add(teamQueue);
    }
  }

  private void prune() {
    for (int i = 0; i < MAX_PRUNED_PER_ARRIVAL && !idle.isEmpty(); i++) {
      TeamQueue teamQueue = idle.first();
      if (teamQueue.counter > startCounter()) {
        return;
      }
      double difference = takeNewRemoteUsage(teamQueue);
      if (teamQueue.counter + difference <= startCounter()) {
        idle.remove(teamQueue);
        teamQueues.remove(teamQueue.team);
      } else {
        setCounter(teamQueue, teamQueue.counter + difference);
      }
    }
  }
}
