package org.dandelionbeam.share;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.dandelionbeam.base.NodeId;
import org.dandelionbeam.base.ServiceId;
import org.dandelionbeam.base.TeamId;

/**
 * Adds up the usage of the teams whose home is this node.
 *
 * <p>Reports are merged by the maximum for each router and incarnation, so that lost, repeated and
 * reordered reports do not change the result. A home that starts empty uses as its baseline the
 * largest total that an earlier home answered to any router, and adds the usage that each router
 * granted since the last answer to it. Totals never decrease: the usage granted by an incarnation
 * remains after it has left. Not thread-safe.
 */
public final class TeamHome {
  private static final long BASELINE_PERIOD_NANOS = Duration.ofMinutes(1).toNanos();

  private final int incarnation;
  private final Map<Key, TeamTotal> teamTotals = new HashMap<>();

  private TeamHome(int incarnation) {
    this.incarnation = incarnation;
  }

  /**
   * Returns an empty home.
   *
   * @param incarnation number of this node's incarnation
   * @return the home
   */
  public static TeamHome of(int incarnation) {
    return new TeamHome(incarnation);
  }

  /**
   * Merges a report into the totals.
   *
   * @param router node that sent the report
   * @param report usage counters of the node
   * @param nowNanos current monotonic time in nanoseconds
   * @return the answer to send back
   */
  public ShareTotals merge(NodeId router, ShareReport report, long nowNanos) {
    requireNonNull(router, "router");
    List<ShareTotals.Total> totals =
        report.entries().stream()
            .map(entry -> merge(router, report.incarnation(), entry, nowNanos))
            .toList();
    return new ShareTotals(incarnation, report.tick(), totals);
  }

  /**
   * Removes the counters of routers that left, and the totals of teams, after some time without a
   * report.
   *
   * <p>The counter of a router that left is kept for that time, so that its late reports are
   * recognized and not added again.
   *
   * @param alive routers that are alive
   * @param idleNanos time without a report after which to remove
   * @param nowNanos current monotonic time in nanoseconds
   */
  public void forget(Collection<NodeId> alive, long idleNanos, long nowNanos) {
    Set<NodeId> kept = Set.copyOf(alive);
    teamTotals.values().removeIf(teamTotal -> nowNanos - teamTotal.reportedNanos > idleNanos);
    teamTotals.values().forEach(teamTotal -> teamTotal.retain(kept, nowNanos - idleNanos));
  }

  /**
   * Returns the usage of a team on a service.
   *
   * @param service the service
   * @param team the team
   * @return the fleet-wide total, 0 if unknown
   */
  public long total(ServiceId service, TeamId team) {
    TeamTotal teamTotal = teamTotals.get(new Key(service, team));
    return teamTotal == null ? 0 : teamTotal.total();
  }

  /**
   * Returns the number of counters kept.
   *
   * @return the count over all teams and routers
   */
  public int size() {
    return teamTotals.values().stream().mapToInt(teamTotal -> teamTotal.counters.size()).sum();
  }

  private ShareTotals.Total merge(
      NodeId router, int routerIncarnation, ShareReport.Entry entry, long nowNanos) {
    TeamTotal teamTotal =
        teamTotals.computeIfAbsent(
            new Key(entry.service(), entry.team()), key -> new TeamTotal(nowNanos));
    teamTotal.reportedNanos = nowNanos;
    long ofRouter = teamTotal.merge(router, routerIncarnation, entry);
    return new ShareTotals.Total(
        entry.service(), entry.team(), teamTotal.total() - ofRouter, teamTotal.baselineChanges);
  }

  private record Key(ServiceId service, TeamId team) {}

  /** Total of one team on one service, with the counters of the routers. */
  private static final class TeamTotal {
    private final Map<NodeId, RouterCounter> counters = new HashMap<>();
    private long baseline;
    private long addedTotal;
    private int baselineChanges;
    private final long createdNanos;
    private long reportedNanos;

    TeamTotal(long nowNanos) {
      createdNanos = nowNanos;
    }

    long total() {
      return baseline + addedTotal;
    }

    /** Merges a router's counter and returns the part of the total that its incarnation granted. */
    long merge(NodeId router, int routerIncarnation, ShareReport.Entry entry) {
      RouterCounter counter = counters.get(router);
      if (counter == null || counter.isSucceededBy(routerIncarnation)) {
        int predecessorIncarnation = counter == null ? routerIncarnation : counter.incarnation;
        counter = new RouterCounter(routerIncarnation, predecessorIncarnation, entry.confirmed());
        counters.put(router, counter);
        raiseBaseline(entry.knownTotal());
      }
      if (counter.incarnation != routerIncarnation) {
        return 0;
      }
      counter.reportedNanos = reportedNanos;
      long growth = Math.max(0, entry.granted() - counter.granted);
      addedTotal += growth;
      counter.granted += growth;
      return counter.granted;
    }

    void retain(Set<NodeId> alive, long reportedAfterNanos) {
      counters
          .entrySet()
          .removeIf(
              counter ->
                  !alive.contains(counter.getKey())
                      && counter.getValue().reportedNanos - reportedAfterNanos < 0);
    }

    /**
     * Raises the baseline to the total that an earlier home reached before this one added any
     * usage; only while this home is new to the team.
     */
    private void raiseBaseline(long knownTotal) {
      boolean isNew = reportedNanos - createdNanos < BASELINE_PERIOD_NANOS;
      if (isNew && knownTotal > baseline) {
        baseline = knownTotal;
        baselineChanges++;
      }
    }
  }

  /**
   * Usage granted by one incarnation of a router; late reports of the incarnation before it are
   * ignored.
   */
  private static final class RouterCounter {
    private final int incarnation;
    private final int predecessorIncarnation;
    private long granted;
    private long reportedNanos;

    RouterCounter(int incarnation, int predecessorIncarnation, long granted) {
      this.incarnation = incarnation;
      this.predecessorIncarnation = predecessorIncarnation;
      this.granted = granted;
    }

    boolean isSucceededBy(int other) {
      return other != incarnation && other != predecessorIncarnation;
    }
  }
}
