package org.dandelionbeam.routing;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.IntUnaryOperator;
import org.dandelionbeam.routing.FleetMembers.Member;

/**
 * Determines when a router asks a peer for data of the store that it can't read itself, and which
 * peer. Not thread-safe.
 *
 * <p>A router knows from the reports of its peers that there is newer data. It asks any peer of its
 * failure domain, as most have the data by then, so that no single one has to serve all; if these
 * don't help, it asks any router of the fleet.
 */
public final class PeerFetch {
  /** A call to the store that works has fetched a change within this time. */
  static final Duration STORE_TIME = Duration.ofMillis(250);

  private static final int MAX_TRIES_WITHIN_DOMAIN = 3;

  private final FleetState fleet;
  private final StoreData data;
  private final IntUnaryOperator random;
  private boolean inProgress;
  private int failures;

  private PeerFetch(FleetState fleet, StoreData data, IntUnaryOperator random) {
    this.fleet = requireNonNull(fleet, "fleet");
    this.data = requireNonNull(data, "data");
    this.random = requireNonNull(random, "random");
  }

  /**
   * Creates the fetch of one kind of data.
   *
   * @param fleet state of the fleet as known to this router
   * @param data kind of data
   * @param random returns a number from 0 to its argument, exclusive
   * @return a fetch that is not in progress
   */
  public static PeerFetch of(FleetState fleet, StoreData data, IntUnaryOperator random) {
    return new PeerFetch(fleet, data, random);
  }

  /**
   * Determines the peer to ask now; to be called several times a second. Each call that returns a
   * peer must be followed by one of {@link #recordEnd}.
   *
   * @return the peer, empty if this router is not behind, has not waited long enough for the store,
   *     has a fetch in progress, or knows no peer
   */
  public Optional<Member> next() {
    Duration behind = fleet.behindFor(data);
    if (behind.isZero()) {
      failures = 0;
    }
    if (inProgress || behind.compareTo(STORE_TIME) < 0) {
      return Optional.empty();
    }
    List<Member> peers = peers();
    if (peers.isEmpty()) {
      return Optional.empty();
    }
    inProgress = true;
    return Optional.of(peers.get(random.applyAsInt(peers.size())));
  }

  private List<Member> peers() {
    Member self = fleet.members().self();
    List<Member> all =
        fleet.members().available(fleet.nowNanos()).stream()
            .filter(member -> !member.name().equals(self.name()))
            .toList();
    List<Member> near =
        all.stream().filter(member -> member.domain().equals(self.domain())).toList();
    return near.isEmpty() || failures >= MAX_TRIES_WITHIN_DOMAIN ? all : near;
  }

  /**
   * Records the end of the fetch in progress.
   *
   * @param newer whether the peer had newer data than this router
   */
  public void recordEnd(boolean newer) {
    inProgress = false;
    failures = newer ? 0 : failures + 1;
  }
}
