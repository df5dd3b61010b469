package org.dandelionbeam.resumption;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.IntUnaryOperator;
import org.dandelionbeam.base.FailureDomain;
import org.dandelionbeam.routing.FleetMembers.Member;
import org.dandelionbeam.routing.FleetState;
import org.dandelionbeam.routing.StoreData;
import org.dandelionbeam.routing.StoreVersions;

/**
 * Determines how a router that can't read the store finds out whether it knows all upstreams.
 *
 * <p>That no peer has reported anything newer proves nothing: this router may be cut off, or may
 * have stood still. It asks a peer of each failure domain, once all that any router had read before
 * has reached all others, and must hear from each of them that nothing newer is known.
 */
public final class PeerConfirmation {
  /** What one router has read reaches all others with three reports, of which one may be lost. */
  public static final Duration REPORT_TIME = Duration.ofMillis(400);

  private final FleetState fleet;
  private final IntUnaryOperator random;

  private PeerConfirmation(FleetState fleet, IntUnaryOperator random) {
    this.fleet = requireNonNull(fleet, "fleet");
    this.random = requireNonNull(random, "random");
  }

  /**
   * Creates the confirmation of one router.
   *
   * @param fleet state of the fleet as known to this router
   * @param random returns a number from 0 to its argument, exclusive
   * @return the confirmation
   */
  public static PeerConfirmation of(FleetState fleet, IntUnaryOperator random) {
    return new PeerConfirmation(fleet, random);
  }

  /**
   * Selects the peers to ask.
   *
   * @return an available router of each failure domain, empty if there is a failure domain of which
   *     none is available, so that what it knows can't be found out
   */
  public Optional<List<Member>> peersToAsk() {
    Member self = fleet.members().self();
    Map<FailureDomain, List<Member>> available = new TreeMap<>();
    fleet.members().available(fleet.nowNanos()).stream()
        .filter(member -> !member.name().equals(self.name()))
        .forEach(
            member ->
                available.computeIfAbsent(member.domain(), key -> new ArrayList<>()).add(member));
    if (!available.keySet().containsAll(otherDomains(self))) {
      return Optional.empty();
    }
    return Optional.of(
        available.values().stream()
            .map(members -> members.get(random.applyAsInt(members.size())))
            .toList());
  }

  /** Returns the failure domains that have other routers, available or not. */
  private Set<FailureDomain> otherDomains(Member self) {
    Set<FailureDomain> domains = new HashSet<>();
    fleet.members().all().stream()
        .filter(member -> !member.name().equals(self.name()))
        .forEach(member -> domains.add(member.domain()));
    return domains;
  }

  /**
   * Tells whether an answer of a peer confirms what this router knows.
   *
   * @param answer newest versions that the peer knows of
   * @return false if the peer knows of newer entries of upstreams, or not yet of those that this
   *     router has read
   */
  public boolean isConfirmedBy(StoreVersions answer) {
    StoreVersions own = fleet.storeVersions();
    return !own.isOlderThan(answer, StoreData.UPSTREAMS)
        && !answer.isOlderThan(own, StoreData.UPSTREAMS);
  }

  /**
   * Returns the answer to such a question of a peer.
   *
   * @return newest versions that this router knows of, empty if it may not have heard of some: it
   *     hears no other router, or stood still lately
   */
  public Optional<StoreVersions> answer() {
    boolean hearsOthers = fleet.members().available(fleet.nowNanos()).size() > 1;
    return hearsOthers && fleet.hasRunFor(REPORT_TIME)
        ? Optional.of(fleet.storeVersions().newest(fleet.staleStateDetector().newestPeerVersions()))
        : Optional.empty();
  }
}
