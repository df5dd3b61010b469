package org.dandelionbeam.routing;

import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * The waiting requests of one team, for the log.
 *
 * @param team the team
 * @param requests number of waiting requests
 * @param prompts number of different shared prompts among them
 * @param longestWait time since the oldest of them was submitted
 * @param usage recent usage of the team, relative to the team with most usage
 */
public record TeamQueue(
    TeamName team, int requests, long prompts, Duration longestWait, double usage) {

  /**
   * Summarizes waiting requests by team.
   *
   * @param tickets the waiting requests
   * @param usage recent usage of the teams
   * @param nowNanos monotonic time
   * @return the queues of the teams, the longest first
   */
  static List<TeamQueue> of(Collection<Ticket> tickets, TeamUsage usage, long nowNanos) {
    Map<TeamName, List<Ticket>> byTeam =
        tickets.stream().collect(Collectors.groupingBy(Ticket::team));
    return byTeam.entrySet().stream()
        .map(entry -> of(entry.getKey(), entry.getValue(), usage, nowNanos))
        .sorted(Comparator.comparingInt(TeamQueue::requests).reversed())
        .toList();
  }

  private static TeamQueue of(TeamName team, List<Ticket> tickets, TeamUsage usage, long nowNanos) {
    long prompts =
        tickets.stream().map(ticket -> ticket.prompt().affinityHash()).distinct().count();
    long oldest = tickets.stream().mapToLong(Ticket::submittedNanos).min().orElse(nowNanos);
    return new TeamQueue(
        team,
        tickets.size(),
        prompts,
        Duration.ofNanos(nowNanos - oldest),
        usage.relativeToMost(team, nowNanos));
  }

  @Override
  public String toString() {
    return team
        + " requests="
        + requests
        + " prompts="
        + prompts
        + " longest_wait_ms="
        + longestWait.toMillis()
        + " usage_percent="
        + Math.round(100 * usage);
  }
}
