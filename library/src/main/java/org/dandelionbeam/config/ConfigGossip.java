package org.dandelionbeam.config;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.dandelionbeam.base.NodeId;
import org.dandelionbeam.config.ConfigAction.Send;
import org.dandelionbeam.peer.PeerMessage;

/**
 * Decides which peers to tell about the revision in force, and which to ask for a newer one.
 *
 * <p>A new revision is pushed to a few random peers, each of which pushes it on, and is announced
 * by frequent digests for a short time. A slow periodic exchange of digests reaches nodes that
 * missed both.
 */
final class ConfigGossip {
  private static final int PUSH_PEERS = 3;
  private static final int BOOT_PEERS = 3;
  private static final int FAST_DIGEST_PEERS = 2;
  private static final long SLOW_DIGEST_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);
  private static final long FAST_DIGEST_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
  private static final long FAST_DIGEST_PERIOD_NANOS = TimeUnit.SECONDS.toNanos(2);
  private static final long PULL_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  private final NodeId self;
  private final WatcherSelection watchers;
  private Optional<NodeId> newestPeer = Optional.empty();
  private long nextSlowDigestAtNanos;
  private long nextFastDigestAtNanos;
  private long fastDigestsUntilNanos;
  private long nextPullAtNanos;

  ConfigGossip(NodeId self, WatcherSelection watchers, long nowNanos) {
    this.self = self;
    this.watchers = watchers;
    nextSlowDigestAtNanos = nowNanos;
    nextFastDigestAtNanos = nowNanos;
    fastDigestsUntilNanos = nowNanos;
    nextPullAtNanos = nowNanos;
  }

  /** Sets the peer to pull from next: one with the newest known revision. */
  void setNewestPeer(NodeId peer) {
    newestPeer = Optional.of(peer);
  }

  /** Sends the digest of a starting node to a few peers, which reply with theirs. */
  List<ConfigAction> sendBootDigests(ConfigDigest digest) {
    return sendToAll(randomPeers(BOOT_PEERS), digest);
  }

  /**
   * Pushes a revision that came into force on this node to a few peers, as a delta if there is one.
   */
  List<ConfigAction> push(ConfigDigest digest, Optional<ConfigDelta> latestDelta, long nowNanos) {
    fastDigestsUntilNanos = nowNanos + FAST_DIGEST_PERIOD_NANOS;
    nextFastDigestAtNanos = nowNanos + FAST_DIGEST_INTERVAL_NANOS;
    List<ConfigAction> actions = new ArrayList<>();
    for (NodeId peer : randomPeers(PUSH_PEERS)) {
      actions.add(
          latestDelta
              .<ConfigAction>map(delta -> new Send(peer, update(digest.revision(), delta)))
              .orElseGet(() -> new Send(peer, digest)));
    }
    return actions;
  }

  /** Sends the digests that are due. */
  List<ConfigAction> tick(ConfigDigest digest, long nowNanos) {
    Set<NodeId> peers = new HashSet<>();
    if (nowNanos - nextSlowDigestAtNanos >= 0) {
      nextSlowDigestAtNanos = nowNanos + SLOW_DIGEST_INTERVAL_NANOS;
      peers.addAll(randomPeers(1));
      peers.add(watchers.standbyNode());
    }
    if (nowNanos - fastDigestsUntilNanos < 0 && nowNanos - nextFastDigestAtNanos >= 0) {
      nextFastDigestAtNanos = nowNanos + FAST_DIGEST_INTERVAL_NANOS;
      peers.addAll(randomPeers(FAST_DIGEST_PEERS));
    }
    peers.remove(self);
    return sendToAll(peers, digest);
  }

  /** Asks a peer for a newer revision, unless one was asked within the pull interval. */
  List<ConfigAction> pull(long baseRevision, long nowNanos) {
    if (nowNanos - nextPullAtNanos < 0) {
      return List.of();
    }
    nextPullAtNanos = nowNanos + PULL_INTERVAL_NANOS;
    Optional<NodeId> source = newestPeer;
    newestPeer = Optional.empty();
    return sendToAll(
        source.map(Set::of).orElseGet(() -> randomPeers(1)), new ConfigPull(baseRevision));
  }

  private Set<NodeId> randomPeers(int count) {
    Set<NodeId> peers = new HashSet<>();
    for (int i = 0; i < 2 * count && peers.size() < count; i++) {
      NodeId peer = watchers.randomNeighbour();
      if (!peer.equals(self)) {
        peers.add(peer);
      }
    }
    return peers;
  }

  private static List<ConfigAction> sendToAll(Set<NodeId> peers, PeerMessage message) {
    return peers.stream().sorted().<ConfigAction>map(peer -> new Send(peer, message)).toList();
  }

  private static ConfigUpdate update(long revision, ConfigDelta delta) {
    return new ConfigUpdate(revision, new byte[0], List.of(delta));
  }
}
