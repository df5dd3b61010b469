package org.dandelionbeam.membership;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.ToIntFunction;
import java.util.function.ToLongFunction;
import org.dandelionbeam.base.NodeId;
import org.dandelionbeam.base.ServiceId;
import org.dandelionbeam.base.UpstreamId;
import org.dandelionbeam.config.Upstream;

/**
 * Candidacies of a node for all its upstreams: decides which upstreams it owns, lends slots to
 * other owners and borrows slots as an owner.
 *
 * <p>The design note {@code docs/design-entitlements.md} describes the cases.
 */
public final class Candidacies {
  private static final int TICKS_PER_REQUEST = 4;
  private static final int TICKS_PER_UNREACHABLE_REQUEST = 16;
  private static final int TICKS_PER_RETURN = 2;

  private final NodeId self;
  private final long incarnation;
  private final long startedNanos;
  private final Reachability reachability;
  private final ToIntFunction<UpstreamId> inFlight;
  private final Map<UpstreamId, Candidacy> candidacies = new TreeMap<>();
  private final Set<NodeId> silentOwners = new TreeSet<>();
  private LoanTiming timing;
  private List<Upstream> upstreams = List.of();
  private Roster roster = Roster.empty();
  private Assignments assignments = Assignments.of(Roster.empty());
  private final Map<UpstreamId, Long> deadlineNanos = new HashMap<>();
  private boolean restarted;
  private boolean listed;
  private boolean lendingStopped;
  private long adoptedNanos;
  private long membersChangedNanos;
  private long ticks;

  /**
   * Creates the candidacies of a process that knows no roster.
   *
   * @param self the node and its process
   * @param timing periods and timeouts of loans
   * @param reachability which other nodes are reachable and may own upstreams
   * @param inFlight requests of an upstream that this node granted and that have not ended, counted
   *     before the slots are read; {@link Integer#MAX_VALUE} if unknown
   * @param nowNanos monotonic time of the start in nanoseconds
   */
  public Candidacies(
      Member self,
      LoanTiming timing,
      Reachability reachability,
      ToIntFunction<UpstreamId> inFlight,
      long nowNanos) {
    this.self = self.id();
    this.incarnation = self.incarnation();
    this.timing = requireNonNull(timing, "timing");
    this.reachability = requireNonNull(reachability, "reachability");
    this.inFlight = requireNonNull(inFlight, "inFlight");
    startedNanos = nowNanos;
    adoptedNanos = nowNanos;
    membersChangedNanos = nowNanos;
  }

  /**
   * Sets the upstreams, with the same deadline for all services.
   *
   * @param next all upstreams
   * @param nowNanos monotonic time in nanoseconds
   */
  public void configure(Collection<Upstream> next, long nowNanos) {
    configure(next, service -> timing.deadlineNanos(), nowNanos);
  }

  /**
   * Sets the upstreams and the deadlines of their services.
   *
   * @param next all upstreams
   * @param deadlines returns the maximum time in nanoseconds from the grant of a slot to the end of
   *     its request
   * @param nowNanos monotonic time in nanoseconds
   */
  public void configure(
      Collection<Upstream> next, ToLongFunction<ServiceId> deadlines, long nowNanos) {
    upstreams = List.copyOf(next);
    for (Upstream upstream : upstreams) {
      long deadline = deadlines.applyAsLong(upstream.service());
      deadlineNanos.put(upstream.id(), deadline);
      timing = timing.withDeadlineOfAtLeast(deadline);
    }
    updateShares(nowNanos);
  }

  /**
   * Returns times that are long enough for every service.
   *
   * @return times with the longest deadline that was ever configured
   */
  LoanTiming timing() {
    return timing;
  }

  /**
   * Sets a newer roster as the one in use; an older one is ignored.
   *
   * @param next the roster
   * @param nowNanos monotonic time in nanoseconds
   */
  public void adopt(Roster next, long nowNanos) {
    if (next.revision() <= roster.revision()) {
      return;
    }
    membersChangedNanos = next.generation() != roster.generation() ? nowNanos : membersChangedNanos;
    adoptedNanos = nowNanos;
    roster = next;
    assignments = Assignments.of(next);
    listed = isListed(next);
    restarted |= listsEarlierProcess(next);
    updateShares(nowNanos);
  }

  private boolean isListed(Roster next) {
    return next.member(self).filter(member -> member.incarnation() == incarnation).isPresent();
  }

  private boolean listsEarlierProcess(Roster next) {
    boolean departed =
        next.departures().stream().anyMatch(departure -> departure.member().id().equals(self));
    return !listed && (departed || next.member(self).isPresent());
  }

  private void updateShares(long nowNanos) {
    Map<UpstreamId, Upstream> configured = new HashMap<>();
    for (Upstream upstream : upstreams) {
      configured.put(upstream.id(), upstream);
      List<NodeId> candidates = assignments.candidates(upstream.id());
      Candidacy known = candidacies.get(upstream.id());
      if (known == null && candidates.contains(self)) {
        LoanTiming ownTiming = timing.withDeadline(deadlineNanos.get(upstream.id()));
        known = new Candidacy(self, upstream, ownTiming, nowNanos);
        candidacies.put(upstream.id(), known);
      }
      if (known != null) {
        known.extendDeadline(deadlineNanos.get(upstream.id()));
        known.update(upstream, candidates, assignments.share(upstream, self), nowNanos);
      }
    }
    candidacies.forEach((id, known) -> dropUnlessConfigured(configured, known, nowNanos));
    updateRoles(nowNanos);
  }

  private static void dropUnlessConfigured(
      Map<UpstreamId, Upstream> configured, Candidacy known, long nowNanos) {
    if (!configured.containsKey(known.upstream().id())) {
      Assignments.SlotShare nothing = new Assignments.SlotShare(Slots.none(), Slots.none());
      known.update(known.upstream(), List.of(), nothing, nowNanos);
    }
  }

  /**
   * Takes or gives up ownership of upstreams, and ends expired loans.
   *
   * @param nowNanos monotonic time in nanoseconds
   */
  public void updateRoles(long nowNanos) {
    long age = nowNanos - startedNanos;
    boolean warmAllowed = listed && !lendingStopped && (!restarted || age >= timing.loanNanos());
    for (Candidacy candidacy : candidacies.values()) {
      long deadline = candidacy.timing().deadlineNanos();
      boolean coldAllowed = warmAllowed && !mayHaveEarlierRequests(deadline, nowNanos);
      candidacy.applyShare(isSettlementOverdue(nowNanos), coldAllowed, warmAllowed);
      candidacy.lender().expire(nowNanos);
      candidacy.borrower().expire(nowNanos);
      silentOwners.addAll(candidacy.decideRole(reachability, nowNanos));
    }
    candidacies.values().removeIf(known -> known.isObsolete(inFlightSample(known, nowNanos)));
  }

  /** Tells whether the roster was not settled in time, so that warm slots follow its members. */
  boolean isSettlementOverdue(long nowNanos) {
    return !roster.isSettled() && nowNanos - membersChangedNanos >= timing.settleTimeoutNanos();
  }

  /** Tells whether requests of an earlier process of this node may still run. */
  private boolean mayHaveEarlierRequests(long nowNanos) {
    return mayHaveEarlierRequests(timing.deadlineNanos(), nowNanos);
  }

  private boolean mayHaveEarlierRequests(long deadline, long nowNanos) {
    return restarted && nowNanos - startedNanos < timing.loanNanos() + deadline;
  }

  private Candidacy.InFlightSample inFlightSample(Candidacy known, long nowNanos) {
    return new Candidacy.InFlightSample(inFlight.applyAsInt(known.upstream().id()), nowNanos);
  }

  /**
   * Updates ownership and collects the messages that are due; called once each tick.
   *
   * @param gossip supplies the news to attach to the messages
   * @param nowNanos monotonic time in nanoseconds
   * @return requests for loans and returns to send
   */
  public List<OutgoingMessage> tick(Gossip.Source gossip, long nowNanos) {
    ticks++;
    updateRoles(nowNanos);
    List<OutgoingMessage> out = new ArrayList<>();
    dueRequests(nowNanos)
        .forEach(
            (to, wishes) ->
                out.add(new OutgoingMessage(to, loanRequest(wishes, gossip.next(), nowNanos))));
    if (ticks % TICKS_PER_RETURN == 0) {
      dueReturns(nowNanos).forEach((to, uses) -> out.add(loanReturn(to, uses, nowNanos)));
    }
    return out;
  }

  private LoanRequest loanRequest(
      List<LoanRequest.UpstreamWindow> windows, Gossip gossip, long nowNanos) {
    return new LoanRequest(roster.revision(), incarnation, nowNanos, windows, gossip);
  }

  private OutgoingMessage loanReturn(NodeId to, List<LoanReturn.Use> uses, long nowNanos) {
    return new OutgoingMessage(to, new LoanReturn(roster.revision(), incarnation, nowNanos, uses));
  }

  private Map<NodeId, List<LoanRequest.UpstreamWindow>> dueRequests(long nowNanos) {
    Map<NodeId, List<LoanRequest.UpstreamWindow>> windows = new LinkedHashMap<>();
    for (Candidacy candidacy : candidacies.values()) {
      for (NodeId other : candidacy.candidates()) {
        boolean isLoanMissing =
            candidacy.isNewOwner(nowNanos) && !candidacy.borrower().hasLoanFrom(other);
        long phase = ticks + Math.floorMod(other.hashCode(), TICKS_PER_REQUEST);
        boolean isDue = phase % TICKS_PER_REQUEST == 0 || isLoanMissing;
        boolean isDueIfUnreachable = phase % TICKS_PER_UNREACHABLE_REQUEST == 0;
        if (candidacy.isRequestDue(
            other, isDue, reachability.isReachable(other), isDueIfUnreachable)) {
          candidacy.borrower().recordRequest(other, nowNanos);
          windows.computeIfAbsent(other, node -> new ArrayList<>()).add(requestedWindow(candidacy));
        }
      }
    }
    return windows;
  }

  private static LoanRequest.UpstreamWindow requestedWindow(Candidacy candidacy) {
    WindowState state = candidacy.window().orElse(new WindowState(true, 0));
    return new LoanRequest.UpstreamWindow(
        candidacy.upstream().id().number(), state.cold(), state.limit());
  }

  private Map<NodeId, List<LoanReturn.Use>> dueReturns(long nowNanos) {
    Map<NodeId, List<LoanReturn.Use>> uses = new LinkedHashMap<>();
    for (Candidacy candidacy : candidacies.values()) {
      if (!candidacy.maySendReturns(nowNanos)) {
        continue;
      }
      UpstreamId id = candidacy.upstream().id();
      int inFlightRequests = inFlight.applyAsInt(id);
      int coveredCold = candidacy.coveredCold(nowNanos);
      for (NodeId lender : candidacy.borrower().lendersAwaitingReturn()) {
        int used =
            candidacy.borrower().recordReturn(lender, inFlightRequests, coveredCold, nowNanos);
        uses.computeIfAbsent(lender, node -> new ArrayList<>())
            .add(new LoanReturn.Use(id.number(), used));
      }
    }
    return uses;
  }

  /**
   * Answers a request for loans with the slots that can be lent.
   *
   * @param from the owner that wants to borrow
   * @param request the request
   * @param gossip news to attach to the response
   * @param nowNanos monotonic time in nanoseconds
   * @return the response
   */
  public LoanResponse onLoanRequest(
      NodeId from, LoanRequest request, Gossip gossip, long nowNanos) {
    Lender.NodeProcess process = new Lender.NodeProcess(from, request.incarnation());
    List<LoanResponse.Loan> loans = new ArrayList<>();
    for (LoanRequest.UpstreamWindow window : request.windows()) {
      UpstreamId id = UpstreamId.of(window.upstream());
      Candidacy candidacy = candidacies.get(id);
      Slots slots = Slots.none();
      if (candidacy != null) {
        slots =
            candidacy.onLoanRequest(
                process, request, window, reachability, inFlightSample(candidacy, nowNanos));
      }
      loans.add(new LoanResponse.Loan(window.upstream(), slots.warm(), slots.cold()));
    }
    return new LoanResponse(roster.revision(), request.sentNanos(), loans, gossip);
  }

  /**
   * Accepts the loans of a response, unless it answers a request of an earlier process of this
   * node.
   *
   * @param from the lender
   * @param response the response
   * @param nowNanos monotonic time in nanoseconds
   */
  public void onLoanResponse(NodeId from, LoanResponse response, long nowNanos) {
    boolean isAnswerToThisProcess =
        response.requestSentNanos() - startedNanos >= 0
            && nowNanos - response.requestSentNanos() >= 0;
    if (!isAnswerToThisProcess) {
      return;
    }
    for (LoanResponse.Loan loan : response.loans()) {
      Candidacy candidacy = candidacies.get(UpstreamId.of(loan.upstream()));
      if (candidacy != null && candidacy.isOwning()) {
        Slots slots = new Slots(loan.warm(), loan.cold());
        candidacy.borrower().accept(from, slots, response.requestSentNanos(), nowNanos);
      }
    }
  }

  /**
   * Takes returned slots back.
   *
   * @param from the borrower
   * @param returned the return
   * @param nowNanos monotonic time in nanoseconds
   */
  public void onLoanReturn(NodeId from, LoanReturn returned, long nowNanos) {
    Lender.NodeProcess process = new Lender.NodeProcess(from, returned.incarnation());
    for (LoanReturn.Use use : returned.uses()) {
      Candidacy candidacy = candidacies.get(UpstreamId.of(use.upstream()));
      if (candidacy != null) {
        candidacy.lender().takeBack(process, returned.sentNanos(), use.cold(), nowNanos);
      }
    }
  }

  /**
   * Returns the generation of the roster in use, if this node is within its share of every
   * upstream.
   *
   * @param nowNanos monotonic time in nanoseconds
   * @return empty while loans or requests by an earlier roster still use more
   */
  public OptionalLong confirmedGeneration(long nowNanos) {
    long age = nowNanos - adoptedNanos;
    if (roster.revision() == 0 || age < timing.tickNanos() || mayHaveEarlierRequests(nowNanos)) {
      return OptionalLong.empty();
    }
    boolean areAllWithinShare =
        candidacies.values().stream().allMatch(known -> isWithinShare(known, age, nowNanos));
    return areAllWithinShare ? OptionalLong.of(roster.generation()) : OptionalLong.empty();
  }

  private boolean isWithinShare(Candidacy known, long age, long nowNanos) {
    boolean isDrained = age >= timing.deadlineNanos() + timing.loanNanos();
    int inFlightRequests = isDrained ? 0 : inFlight.applyAsInt(known.upstream().id());
    return known.isWithinShare(new Candidacy.InFlightSample(inFlightRequests, nowNanos));
  }

  /**
   * Stores the window of an owned upstream, which the next requests for loans carry.
   *
   * @param upstream the upstream
   * @param state the state of its window
   */
  public void publishWindow(UpstreamId upstream, WindowState state) {
    Optional.ofNullable(candidacies.get(upstream)).ifPresent(known -> known.publishWindow(state));
  }

  /**
   * Returns the window that an owner of an upstream published last.
   *
   * @param upstream the upstream
   * @return empty if none is known
   */
  public Optional<WindowState> window(UpstreamId upstream) {
    return Optional.ofNullable(candidacies.get(upstream)).flatMap(Candidacy::window);
  }

  /**
   * Returns the slots that this node may use.
   *
   * @param upstream the upstream
   * @param nowNanos monotonic time in nanoseconds
   * @return no slots if this node is not the owner
   */
  public Slots slots(UpstreamId upstream, long nowNanos) {
    return usableSlots(upstream).totalAt(nowNanos);
  }

  UsableSlots usableSlots(UpstreamId upstream) {
    Candidacy candidacy = candidacies.get(upstream);
    return candidacy == null ? UsableSlots.none() : candidacy.usableSlots();
  }

  /**
   * Returns the owner of an upstream, as far as this node knows.
   *
   * @param upstream the upstream
   * @return this node if it owns it, else the node that it lends to, else the first candidate that
   *     is reachable and may own
   */
  public Optional<NodeId> owner(UpstreamId upstream) {
    Candidacy known = candidacies.get(upstream);
    if (known != null && known.isOwning()) {
      return Optional.of(self);
    }
    Optional<NodeId> borrower = known == null ? Optional.empty() : known.lender().borrower();
    return borrower
        .filter(reachability::isReachable)
        .or(() -> assignments.candidates(upstream).stream().filter(this::isEligible).findFirst());
  }

  private boolean isEligible(NodeId node) {
    return reachability.mayOwn(node) && reachability.isReachable(node);
  }

  /**
   * Returns the candidates that this node took over from because they sent no requests, although
   * they seemed in service.
   *
   * @return the candidates since the last call
   */
  public List<NodeId> takeSilentOwners() {
    List<NodeId> result = List.copyOf(silentOwners);
    silentOwners.clear();
    return result;
  }

  /** Stops lending, before this node leaves the roster. */
  public void stopLending() {
    lendingStopped = true;
  }

  /**
   * Tells whether no slot of this node is lent or withheld and all requests that it granted have
   * ended.
   *
   * @param nowNanos monotonic time in nanoseconds
   * @return true if other nodes need not wait for anything when this node leaves
   */
  public boolean isDrained(long nowNanos) {
    return !mayHaveEarlierRequests(nowNanos)
        && candidacies.values().stream()
            .allMatch(
                known ->
                    known.lender().isIdle() && known.isDrained(inFlightSample(known, nowNanos)));
  }

  /**
   * Returns the assignments in use.
   *
   * @return the assignments by the roster in use
   */
  public Assignments assignments() {
    return assignments;
  }

  /**
   * Returns the upstreams that this node is a candidate for.
   *
   * @return ids in order
   */
  public List<UpstreamId> upstreams() {
    return List.copyOf(candidacies.keySet());
  }

  /**
   * Returns the roster in use.
   *
   * @return the newest that was adopted
   */
  public Roster roster() {
    return roster;
  }
}
