package org.dandelionbeam.dispatch;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.apache.commons.codec.digest.MurmurHash3;
import org.dandelionbeam.base.NodeId;

/** Selects the owner that a ticket is sent to. */
final class OwnerSelector {
  private final NodeId self;
  private final TargetTable targets;
  private final AdvertCache adverts;
  private final RandomGenerator random;

  OwnerSelector(NodeId self, TargetTable targets, AdvertCache adverts, RandomGenerator random) {
    this.self = self;
    this.targets = targets;
    this.adverts = adverts;
    this.random = random;
  }

  /**
   * Selects the first owner of a ticket: by prompt prefix, else this node, else one with free
   * slots, else one without a recent advert, else the one of two random owners with the higher
   * virtual time.
   */
  Optional<Selection> selectFirst(WaitingTicket ticket, long nowNanos) {
    List<Target> candidates = eligibleTargets(ticket);
    if (candidates.isEmpty()) {
      return Optional.empty();
    }
    Optional<Selection> chosen =
        selectByPrefix(ticket, candidates, nowNanos)
            .or(() -> selectLocal(candidates, nowNanos))
            .or(() -> selectWithFreeSlots(candidates, nowNanos))
            .or(() -> selectUnknown(candidates, nowNanos));
    return Optional.of(chosen.orElseGet(() -> selectHigherOfTwo(candidates, nowNanos)));
  }

  /** Selects a further owner for a waiting ticket: the one with the most free slots. */
  Optional<Selection> selectWithFreeSlots(WaitingTicket ticket, long nowNanos) {
    return selectWithFreeSlots(eligibleTargets(ticket), nowNanos);
  }

  /**
   * Selects a further owner for a waiting ticket: one without a recent advert, at a limited rate.
   */
  Optional<Selection> selectToProbe(WaitingTicket ticket, long nowNanos) {
    return selectUnknown(eligibleTargets(ticket), nowNanos)
        .filter(chosen -> adverts.mayProbe(chosen.target().owner(), nowNanos));
  }

  /**
   * Selects a further owner for a waiting ticket: the one with the highest virtual time, if that
   * exceeds the virtual time of its present owner by more than the threshold.
   */
  Optional<Selection> selectAhead(WaitingTicket ticket, double threshold, long nowNanos) {
    Optional<Float> here = virtualTimeHere(ticket, nowNanos);
    if (here.isEmpty()) {
      return Optional.empty();
    }
    Target best = null;
    double highest = here.get() + threshold;
    for (Target target : eligibleTargets(ticket)) {
      Optional<AdvertCache.CachedAdvert> advert = adverts.find(target, nowNanos);
      if (advert.isPresent() && advert.get().virtualTime > highest) {
        best = target;
        highest = advert.get().virtualTime;
      }
    }
    String reason = "its virtual time is higher";
    return Optional.ofNullable(best).map(target -> new Selection(target, reason));
  }

  private Optional<Float> virtualTimeHere(WaitingTicket ticket, long nowNanos) {
    return targets.targets(ticket.request.service(), ticket.requirements).stream()
        .filter(target -> ticket.isPlacedAt(target.owner()))
        .flatMap(target -> adverts.find(target, nowNanos).stream())
        .map(advert -> advert.virtualTime)
        .max(Float::compare);
  }

  private List<Target> eligibleTargets(WaitingTicket ticket) {
    return targets.targets(ticket.request.service(), ticket.requirements).stream()
        .filter(
            target ->
                !ticket.isPlacedAt(target.owner()) && !ticket.refusedBy.contains(target.owner()))
        .filter(target -> targets.accepts(target.upstream().id()))
        .toList();
  }

  private Optional<Selection> selectByPrefix(
      WaitingTicket ticket, List<Target> candidates, long nowNanos) {
    long prefix = ticket.request.prefixHash();
    if (prefix == 0) {
      return Optional.empty();
    }
    Target best = candidates.get(0);
    for (Target target : candidates) {
      best = rank(prefix, target) > rank(prefix, best) ? target : best;
    }
    return Optional.of(best)
        .filter(target -> mayHaveFreeSlots(target, nowNanos))
        .map(target -> selectAndTakeSlot(target, "it ranks first for the prompt prefix", nowNanos));
  }

  private Optional<Selection> selectLocal(List<Target> candidates, long nowNanos) {
    return candidates.stream()
        .filter(target -> target.owner().equals(self) && mayHaveFreeSlots(target, nowNanos))
        .findFirst()
        .map(target -> selectAndTakeSlot(target, "this node owns a suitable upstream", nowNanos));
  }

  private Optional<Selection> selectWithFreeSlots(List<Target> candidates, long nowNanos) {
    Target best = null;
    int most = 0;
    for (Target target : candidates) {
      int slots = adverts.find(target, nowNanos).map(advert -> advert.freeSlots).orElse(0);
      if (slots > most) {
        best = target;
        most = slots;
      }
    }
    return Optional.ofNullable(best)
        .map(target -> selectAndTakeSlot(target, "it has free slots", nowNanos));
  }

  private Optional<Selection> selectUnknown(List<Target> candidates, long nowNanos) {
    List<Target> withoutAdvert =
        candidates.stream().filter(target -> adverts.find(target, nowNanos).isEmpty()).toList();
    if (withoutAdvert.isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(new Selection(randomOf(withoutAdvert), "its state is unknown"));
  }

  private Selection selectHigherOfTwo(List<Target> candidates, long nowNanos) {
    Target one = randomOf(candidates);
    Target two = randomOf(candidates);
    Target higher = virtualTime(one, nowNanos) >= virtualTime(two, nowNanos) ? one : two;
    return new Selection(
        higher, "no owner has free slots and it has the higher virtual time of two");
  }

  private Target randomOf(List<Target> candidates) {
    return candidates.get(random.nextInt(candidates.size()));
  }

  private boolean mayHaveFreeSlots(Target target, long nowNanos) {
    return adverts.find(target, nowNanos).map(advert -> advert.freeSlots > 0).orElse(true);
  }

  private float virtualTime(Target target, long nowNanos) {
    return adverts.find(target, nowNanos).map(advert -> advert.virtualTime).orElse(0f);
  }

  private Selection selectAndTakeSlot(Target target, String reason, long nowNanos) {
    adverts.find(target, nowNanos).ifPresent(advert -> advert.freeSlots--);
    return new Selection(target, reason);
  }

  private static int rank(long prefixHash, Target target) {
    return MurmurHash3.hash32(prefixHash, target.upstream().id().number());
  }

  /** An upstream, its owner and the reason for the selection. */
  record Selection(Target target, String reason) {}
}
