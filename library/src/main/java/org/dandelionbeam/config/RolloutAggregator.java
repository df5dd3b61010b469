package org.dandelionbeam.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.dandelionbeam.base.NodeId;

/**
 * Adds up which members do not have a revision yet, along a binary tree over the ranking.
 *
 * <p>Each node reports its part of the tree to its parent; the root's total spreads with the
 * digests, the youngest one counts. The cost for a node does not grow with the fleet.
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

  /** Adds up this node's part; the root keeps it as the total. */
  RolloutReport aggregate(long revision, long nowNanos) {
    int behind = 0;
    List<NodeId> names = new ArrayList<>();
    for (int child : childRanks()) {
      NodeId node = ranking.get(child);
      RolloutReport last = reports.get(node);
      if (last == null || last.revision() < revision) {
        behind += subtreeSize(child);
        names.add(node);
      } else {
        behind += last.behind();
        names.addAll(last.names());
      }
    }
    List<NodeId> first = names.subList(0, Math.min(MAX_LISTED_NODES, names.size()));
    if (rank == 0) {
      total = new RolloutTotal(revision, behind, first, 0);
      totalAtNanos = nowNanos;
    }
    return new RolloutReport(revision, behind, first);
  }

  /** Learns a total that a digest carried. */
  void onTotal(RolloutTotal other, long nowNanos) {
    if (other.ageMillis() < total(nowNanos).ageMillis() && rank != 0) {
      total = other;
      totalAtNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(other.ageMillis());
    }
  }

  /** Returns the youngest total with its age. */
  RolloutTotal total(long nowNanos) {
    if (total.equals(UNKNOWN)) {
      return total;
    }
    long age = TimeUnit.NANOSECONDS.toMillis(nowNanos - totalAtNanos);
    int bounded = (int) Math.min(Integer.MAX_VALUE - 1, age);
    return new RolloutTotal(total.revision(), total.behind(), total.names(), bounded);
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

  /** Counts the nodes of the part of the tree below a rank, that rank included. */
  private int subtreeSize(int root) {
    int size = 0;
    int left = root;
    int width = 1;
    while (left < ranking.size()) {
      size += Math.min(width, ranking.size() - left);
      left = 2 * left + 1;
      width *= 2;
    }
    return size;
  }
}
