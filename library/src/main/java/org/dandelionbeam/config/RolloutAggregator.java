package org.dandelionbeam.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.dandelionbeam.base.NodeId;

/**
 * Counts the members that do not have a revision yet, along a binary tree over the ranking of
 * members.
 *
 * <p>Each node reports its subtree to its parent. Digests carry the root's total to all nodes, each
 * of which keeps the most recent one. The cost per node does not grow with the size of the fleet.
 */
final class RolloutAggregator {
  private static final int MAX_LISTED_NODES = 8;
  private static final RolloutTotal UNKNOWN = new RolloutTotal(0, 0, List.of(), Integer.MAX_VALUE);

  private final Map<NodeId, RolloutReport> reports = new HashMap<>();
  private List<NodeId> ranking;
  private int rank;
  private RolloutTotal total = UNKNOWN;
  private long totalAtNanos;

  RolloutAggregator(NodeId self, long nowNanos) {
    ranking = List.of(self);
    totalAtNanos = nowNanos;
  }

  void updateMembers(List<NodeId> newRanking, int newRank) {
    ranking = newRanking;
    rank = newRank;
    reports.keySet().retainAll(childNodes());
  }

  /** Returns the node to report to, empty at the root. */
  Optional<NodeId> parent() {
    return rank == 0 ? Optional.empty() : Optional.of(ranking.get((rank - 1) / 2));
  }

  void onReport(NodeId from, RolloutReport report) {
    if (childNodes().contains(from)) {
      reports.put(from, report);
    }
  }

  /** Aggregates the reports of this node's subtree; the root keeps the result as the total. */
  RolloutReport aggregate(long revision, long nowNanos) {
    int behind = 0;
    List<NodeId> behindNodes = new ArrayList<>();
    for (int child : childRanks()) {
      NodeId node = ranking.get(child);
      RolloutReport report = reports.get(node);
      if (report == null || report.revision() < revision) {
        behind += subtreeSize(child);
        behindNodes.add(node);
      } else {
        behind += report.behind();
        behindNodes.addAll(report.names());
      }
    }
    List<NodeId> listed = behindNodes.subList(0, Math.min(MAX_LISTED_NODES, behindNodes.size()));
    if (rank == 0) {
      total = new RolloutTotal(revision, behind, listed, 0);
      totalAtNanos = nowNanos;
    }
    return new RolloutReport(revision, behind, listed);
  }

  /** Handles a total that a digest carried; keeps it if it is more recent. */
  void onTotal(RolloutTotal other, long nowNanos) {
    if (other.ageMillis() < total(nowNanos).ageMillis() && rank != 0) {
      total = other;
      totalAtNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(other.ageMillis());
    }
  }

  /** Returns the most recent total with its age. */
  RolloutTotal total(long nowNanos) {
    if (total.equals(UNKNOWN)) {
      return total;
    }
    long age = TimeUnit.NANOSECONDS.toMillis(nowNanos - totalAtNanos);
    int ageMillis = (int) Math.min(Integer.MAX_VALUE - 1, age);
    return new RolloutTotal(total.revision(), total.behind(), total.names(), ageMillis);
  }

  private List<NodeId> childNodes() {
    return childRanks().stream().map(ranking::get).toList();
  }

  private List<Integer> childRanks() {
    List<Integer> children = new ArrayList<>();
    for (int child = 2 * rank + 1; child <= 2 * rank + 2 && child < ranking.size(); child++) {
      children.add(child);
    }
    return children;
  }

  /** Returns the number of nodes in the subtree whose root has the given rank. */
  private int subtreeSize(int root) {
    int size = 0;
    int leftmost = root;
    int width = 1;
    while (leftmost < ranking.size()) {
      size += Math.min(width, ranking.size() - leftmost);
      leftmost = 2 * leftmost + 1;
      width *= 2;
    }
    return size;
  }
}
