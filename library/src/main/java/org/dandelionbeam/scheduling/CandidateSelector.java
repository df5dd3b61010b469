package org.dandelionbeam.scheduling;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.dandelionbeam.routing.Decision;
import org.dandelionbeam.routing.FleetState;
import org.dandelionbeam.routing.PrefixCacheModel;
import org.dandelionbeam.routing.Ticket;
import org.dandelionbeam.routing.UpstreamInstance;

/**
 * Selects the upstreams that a request may go to, by what the router of its caller knows of them.
 */
final class CandidateSelector {
  private final FleetState fleet;

  CandidateSelector(FleetState fleet) {
    this.fleet = requireNonNull(fleet, "fleet");
  }

  /** Result of a selection. */
  sealed interface Selection {

    /**
     * The request may go to an upstream.
     *
     * @param preferred upstream that most likely has the request's prompt cached
     * @param usableCount number of usable upstreams of the service
     * @param excluded numbers of the usable upstreams that the request must not go to, besides
     *     those of other software versions than the one that it is bound to
     */
    record Candidates(UpstreamInstance preferred, int usableCount, Set<Integer> excluded)
        implements Selection {}

    /**
     * No upstream may get the request now.
     *
     * @param retryAfter time after which one may
     */
    record None(Duration retryAfter) implements Selection {}
  }

  /** Selects the upstreams for a request; those that failed lately only if no others are left. */
  Selection select(Ticket ticket) {
    List<UpstreamInstance> usable = fleet.upstreams().usable(ticket.service());
    List<UpstreamInstance> allowed =
        usable.stream()
            .filter(upstream -> !ticket.isExcluded(upstream.number()) && mayGet(upstream, ticket))
            .toList();
    if (allowed.isEmpty()) {
      return new Selection.None(timeUntilRested(usable));
    }
    List<UpstreamInstance> healthy =
        allowed.stream()
            .filter(upstream -> !fleet.health().isAvoided(upstream.id(), fleet.nowNanos()))
            .toList();
    List<UpstreamInstance> candidates = healthy.isEmpty() ? allowed : healthy;
    Set<Integer> excluded = new HashSet<>();
    usable.stream().filter(ticket::isServedBy).forEach(upstream -> excluded.add(upstream.number()));
    candidates.forEach(upstream -> excluded.remove(upstream.number()));
    long hash =
        ticket.prompt().parts().isEmpty() ? ticket.number() : ticket.prompt().affinityHash();
    UpstreamInstance preferred = PrefixCacheModel.preferred(hash, candidates);
    return new Selection.Candidates(preferred, usable.size(), excluded);
  }

  /** Tells whether an upstream may get a request that it did not get yet. */
  boolean mayGet(UpstreamInstance upstream, Ticket ticket) {
    return !isResting(upstream) && ticket.isServedBy(upstream) && mayBegin(upstream, ticket);
  }

  /** A stream that may be resumed begins only where its origin can be told from the records. */
  private boolean mayBegin(UpstreamInstance upstream, Ticket ticket) {
    return !ticket.isResumable()
        || ticket.requiredVersion().isPresent()
        || fleet.versions().mayBegin(upstream.service(), upstream.version(), fleet.nowNanos());
  }

  /** Tells whether an upstream has asked this router for a rest that is not over. */
  boolean isResting(UpstreamInstance upstream) {
    return !remainingRest(upstream).isZero();
  }

  private Duration remainingRest(UpstreamInstance upstream) {
    return fleet.health().remainingRest(upstream.id(), fleet.nowNanos());
  }

  private Duration timeUntilRested(List<UpstreamInstance> upstreams) {
    return upstreams.stream()
        .map(this::remainingRest)
        .filter(rest -> rest.compareTo(Decision.MIN_RETRY_AFTER) > 0)
        .min(Duration::compareTo)
        .orElse(Decision.MIN_RETRY_AFTER);
  }
}
