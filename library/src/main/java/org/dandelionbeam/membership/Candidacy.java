package org.dandelionbeam.membership;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.dandelionbeam.base.NodeId;
import org.dandelionbeam.config.Upstream;

/**
 * A node's candidacy for one upstream: its rank, whether it is the owner, its share of the slots,
 * and its loans to and from other candidates.
 */
final class Candidacy {
  private static final int TAKEOVER_STAGGER_TICKS = 2;
  private static final int NEW_OWNER_REQUESTS = 3;

  private LoanTiming timing;
  private final NodeId self;
  private final Lender lender;
  private final Borrower borrower;
  private Upstream upstream;
  private List<NodeId> candidates = List.of();
  private long[] lastRequestNanos = {};
  private Assignments.SlotShare share = new Assignments.SlotShare(Slots.none(), Slots.none());
  private Optional<WindowState> window = Optional.empty();
  private boolean owning;
  private boolean everOwned;
  private long roleSinceNanos;
  private long waitingSinceNanos;

  Candidacy(NodeId self, Upstream upstream, LoanTiming timing, long nowNanos) {
    this.self = self;
    this.upstream = upstream;
    this.timing = timing;
    lender = new Lender(timing);
    borrower = new Borrower(timing);
    roleSinceNanos = nowNanos;
    waitingSinceNanos = nowNanos;
  }

  /**
   * Extends the request deadline to that of the service; it never shrinks, because requests that
   * were granted with a longer one may still run.
   */
  void extendDeadline(long deadlineNanos) {
    timing = timing.withDeadlineOfAtLeast(deadlineNanos);
    lender.updateTiming(timing);
    borrower.updateTiming(timing);
  }

  LoanTiming timing() {
    return timing;
  }

  Upstream upstream() {
    return upstream;
  }

  Lender lender() {
    return lender;
  }

  Borrower borrower() {
    return borrower;
  }

  List<NodeId> candidates() {
    return candidates;
  }

  boolean isOwning() {
    return owning;
  }

  Optional<WindowState> window() {
    return window;
  }

  void publishWindow(WindowState state) {
    window = Optional.of(state);
  }

  /**
   * Tells whether the node is no longer a candidate, has no loans in either direction and no
   * running request.
   */
  boolean isObsolete(InFlightSample sample) {
    boolean isIdle = lender.isIdle() && borrower.isIdle();
    return !candidates.contains(self) && !owning && isIdle && isDrained(sample);
  }

  /** Tells whether all requests that this node granted have ended. */
  boolean isDrained(InFlightSample sample) {
    return runningGrants(sample) == 0;
  }

  /** Returns the number of requests that this node granted and that may still run. */
  private int runningGrants(InFlightSample sample) {
    boolean isOver = !owning && sample.nowNanos() - roleSinceNanos >= timing.deadlineNanos();
    return !everOwned || isOver ? 0 : sample.requests();
  }

  void update(
      Upstream next, List<NodeId> nextCandidates, Assignments.SlotShare nextShare, long nowNanos) {
    upstream = next;
    share = nextShare;
    if (nextCandidates.equals(candidates)) {
      return;
    }
    long[] requestNanos = new long[nextCandidates.size()];
    Arrays.fill(requestNanos, nowNanos - timing.loanNanos());
    for (int rank = 0; rank < candidates.size(); rank++) {
      int place = nextCandidates.indexOf(candidates.get(rank));
      if (place >= 0) {
        requestNanos[place] = lastRequestNanos[rank];
      }
    }
    candidates = nextCandidates;
    lastRequestNanos = requestNanos;
    waitingSinceNanos = nowNanos;
  }

  /**
   * Sets the share to use: cold slots by both the members and the basis, warm slots by the members
   * alone if the roster is not settled in time.
   */
  void applyShare(boolean warmByMembers, boolean coldAllowed, boolean warmAllowed) {
    int warm = warmByMembers ? share.byMembers().warm() : share.byBoth().warm();
    int cold = coldAllowed ? share.byBoth().cold() : 0;
    lender.setShare(warmAllowed ? new Slots(warm, cold) : Slots.none());
  }

  /**
   * Takes or gives up ownership of the upstream.
   *
   * @return better candidates that seem in service but sent no requests, so that this node took
   *     over from them
   */
  List<NodeId> decideRole(Reachability reachability, long nowNanos) {
    boolean owner = shouldOwn(reachability, nowNanos);
    if (owner == owning) {
      return List.of();
    }
    changeRole(owner, nowNanos);
    if (!owner) {
      return List.of();
    }
    return candidates.subList(0, candidates.indexOf(self)).stream()
        .filter(node -> reachability.mayOwn(node) && reachability.isReachable(node))
        .toList();
  }

  private boolean shouldOwn(Reachability reachability, long nowNanos) {
    int rank = candidates.indexOf(self);
    if (rank < 0 || !reachability.mayOwn(self)) {
      return false;
    }
    int betterCandidates = 0;
    long lastHeardNanos = waitingSinceNanos;
    for (int i = 0; i < rank; i++) {
      lastHeardNanos = Math.max(lastHeardNanos, lastRequestNanos[i]);
      if (reachability.mayOwn(candidates.get(i)) && reachability.isReachable(candidates.get(i))) {
        betterCandidates++;
        if (owning && nowNanos - lastRequestNanos[i] < timing.loanNanos()) {
          return false;
        }
      }
    }
    long waitNanos =
        timing.loanNanos() + (betterCandidates - 1L) * TAKEOVER_STAGGER_TICKS * timing.tickNanos();
    return owning || betterCandidates == 0 || nowNanos - lastHeardNanos >= waitNanos;
  }

  private void changeRole(boolean owner, long nowNanos) {
    owning = owner;
    everOwned |= owner;
    roleSinceNanos = nowNanos;
    if (!owner) {
      waitingSinceNanos = nowNanos;
      borrower.endAllLoans(nowNanos);
    }
  }

  /**
   * Lends slots to a candidate that owns this upstream, and gives up ownership if that candidate
   * ranks better.
   */
  Slots onLoanRequest(
      Lender.NodeProcess from,
      LoanRequest request,
      LoanRequest.UpstreamWindow requested,
      Reachability reachability,
      InFlightSample sample) {
    long nowNanos = sample.nowNanos();
    int rank = candidates.indexOf(from.node());
    if (rank < 0 || !reachability.mayOwn(from.node())) {
      return Slots.none();
    }
    lastRequestNanos[rank] = nowNanos;
    int ownRank = candidates.indexOf(self);
    if (owning && rank < ownRank) {
      changeRole(false, nowNanos);
    }
    if (owning
        || hasBetterRankedRequester(rank, reachability, nowNanos)
        || isHandingOver(nowNanos)) {
      return Slots.none();
    }
    if (requested.limit() > 0) {
      window = Optional.of(new WindowState(requested.cold(), requested.limit()));
    }
    return lender.lend(from, request.sentNanos(), ownColdInUse(sample), nowNanos);
  }

  private boolean hasBetterRankedRequester(int rank, Reachability reachability, long nowNanos) {
    long recentNanos = timing.requestPeriodNanos() + timing.requestPeriodNanos() / 2;
    for (int i = 0; i < rank; i++) {
      if (reachability.mayOwn(candidates.get(i)) && nowNanos - lastRequestNanos[i] < recentNanos) {
        return true;
      }
    }
    return false;
  }

  private boolean isHandingOver(long nowNanos) {
    return everOwned && nowNanos - roleSinceNanos < timing.tickNanos();
  }

  /**
   * Returns the own cold slots that running requests use; requests are counted against own slots
   * first.
   */
  private int ownColdInUse(InFlightSample sample) {
    return Math.min(lender.freeCold(), runningGrants(sample));
  }

  boolean isRequestDue(
      NodeId other, boolean isDue, boolean isReachable, boolean isDueIfUnreachable) {
    if (!owning || other.equals(self)) {
      return false;
    }
    return isReachable ? isDue : isDue && isDueIfUnreachable;
  }

  boolean isNewOwner(long nowNanos) {
    return owning && nowNanos - roleSinceNanos < NEW_OWNER_REQUESTS * timing.requestPeriodNanos();
  }

  /**
   * Tells whether returns may be sent: false shortly after ownership ended, while grants that were
   * made as the owner may still be in progress.
   */
  boolean maySendReturns(long nowNanos) {
    return owning || !isHandingOver(nowNanos);
  }

  int coveredCold(long nowNanos) {
    return lender.freeCold() + borrower.usableCold(nowNanos);
  }

  /**
   * Tells whether no more cold slots are lent, withheld or used than the share and the loans allow.
   */
  boolean isWithinShare(InFlightSample sample) {
    return lender.isWithinShare() && runningGrants(sample) <= coveredCold(sample.nowNanos());
  }

  UsableSlots usableSlots() {
    return owning ? new UsableSlots(lender.free(), borrower.loans()) : UsableSlots.none();
  }

  /** Number of requests in flight that this node granted, at a time. */
  record InFlightSample(int requests, long nowNanos) {}
}
