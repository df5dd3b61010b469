package org.dandelionbeam.config;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.apache.commons.codec.digest.MurmurHash3;
import org.dandelionbeam.base.NodeId;

/**
 * Decides whether this node watches the configuration key in the platform store.
 *
 * <p>Nodes are ranked by a hash of their names. The first few watch; the others are on standby. A
 * standby node starts to watch when neither it nor any node that it has heard from got a response
 * from the platform store for a time that grows with its rank. Each node tells the node a few ranks
 * behind it how long ago the last response was. The first rank rotates with each revision, so that
 * nodes share the cost of reading full values.
 */
final class WatcherSelection {
  private static final int WATCHER_COUNT = 3;
  private static final long STANDBY_DELAY_NANOS = TimeUnit.SECONDS.toNanos(2);
  private static final long MIN_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(250);
  private static final long MAX_BACKOFF_NANOS = TimeUnit.SECONDS.toNanos(8);
  private static final int RANKS_PER_BACKOFF_STEP = 24;

  private final NodeId self;
  private final RandomGenerator random;
  private List<NodeId> ranking;
  private int rank;
  private long rotation;
  private boolean callInFlight;
  private long nextCallAtNanos;
  private long lastContactAtNanos;
  private int failures;

  WatcherSelection(NodeId self, RandomGenerator random, long nowNanos) {
    this.self = self;
    this.random = random;
    lastContactAtNanos = nowNanos - STANDBY_DELAY_NANOS;
    nextCallAtNanos = nowNanos;
    ranking = List.of(self);
  }

  void updateMembers(List<NodeId> members) {
    List<NodeId> ranked = new ArrayList<>(members);
    if (!ranked.contains(self)) {
      ranked.add(self);
    }
    ranked.sort(Comparator.comparingInt(WatcherSelection::hash).thenComparing(node -> node));
    ranking = ranked;
    rank = ranked.indexOf(self);
  }

  /** Starts a call to the platform store if one is due; returns whether it did. */
  boolean tryBeginCall(long nowNanos) {
    boolean isDue = !callInFlight && nowNanos - nextCallAtNanos >= 0 && isWatcher(nowNanos);
    callInFlight |= isDue;
    return isDue;
  }

  boolean isWatcher(long nowNanos) {
    int standbyGroup = rotatedRank() / WATCHER_COUNT;
    return standbyGroup == 0
        || contactAgeNanos(nowNanos) > STANDBY_DELAY_NANOS * (1 + standbyGroup);
  }

  /** Rotates the ranking so that it starts with the watchers of a revision. */
  void rotate(long revision) {
    rotation = MurmurHash3.hash32(revision);
  }

  private int rotatedRank() {
    return (int) Math.floorMod(rank - rotation, (long) ranking.size());
  }

  void onAnswer(long nowNanos) {
    callInFlight = false;
    failures = 0;
    lastContactAtNanos = nowNanos;
    nextCallAtNanos = nowNanos;
  }

  void onFailure(long nowNanos) {
    callInFlight = false;
    int doublings = Math.min(failures++, Integer.SIZE / 2);
    long maxBackoff = MAX_BACKOFF_NANOS * (1 + rotatedRank() / RANKS_PER_BACKOFF_STEP);
    long backoff = Math.min(maxBackoff, MIN_BACKOFF_NANOS << doublings);
    nextCallAtNanos = nowNanos + backoff / 2 + random.nextLong(backoff);
  }

  /**
   * Handles a peer's report of how long ago the platform store last responded to it or to a node
   * that it heard from.
   */
  void onPeerContact(long contactAgeNanos, long nowNanos) {
    long contactAtNanos = nowNanos - Math.max(0, contactAgeNanos);
    lastContactAtNanos =
        Math.max(lastContactAtNanos - nowNanos, contactAtNanos - nowNanos) + nowNanos;
  }

  long contactAgeNanos(long nowNanos) {
    return nowNanos - lastContactAtNanos;
  }

  /** Returns the standby node that follows this one in the ranking. */
  NodeId standbyNode() {
    return ranking.get((rank + WATCHER_COUNT) % ranking.size());
  }

  /**
   * Returns a random node whose distance from this one in the ranking is a power of two, or this
   * node if it is alone. A node has few such neighbours, so it needs few connections; their
   * exponential distances keep the number of hops between any two nodes small.
   */
  NodeId randomNeighbour() {
    int size = ranking.size();
    int distances = Integer.SIZE - Integer.numberOfLeadingZeros(Math.max(1, size / 2));
    int distance = 1 << random.nextInt(distances);
    return ranking.get(Math.floorMod(rank + (random.nextBoolean() ? distance : -distance), size));
  }

  List<NodeId> ranking() {
    return ranking;
  }

  int rank() {
    return rank;
  }

  private static int hash(NodeId node) {
    byte[] name = ("config-watch " + node.name()).getBytes(StandardCharsets.UTF_8);
    return MurmurHash3.hash32x86(name);
  }
}
