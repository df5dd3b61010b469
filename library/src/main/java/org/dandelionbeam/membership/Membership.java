package org.dandelionbeam.membership;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToIntFunction;
import java.util.random.RandomGenerator;
import org.dandelionbeam.base.FailureDomain;
import org.dandelionbeam.base.NodeId;
import org.dandelionbeam.base.ServiceId;
import org.dandelionbeam.base.UpstreamId;
import org.dandelionbeam.config.Configuration;
import org.dandelionbeam.config.Service;
import org.dandelionbeam.membership.Departure.Reason;
import org.dandelionbeam.membership.Gossip.MemberUpdate;
import org.dandelionbeam.peer.PeerMessage;

/**
 * Membership of one node: combines failure detection, the roster, candidacies for upstreams and
 * marks of failure domains.
 */
public final class Membership implements Reachability {
  private static final long ROSTER_REQUEST_INTERVAL_NANOS = Duration.ofMillis(500).toNanos();
  private static final long CONFIRMATION_INTERVAL_NANOS = Duration.ofSeconds(4).toNanos();
  private static final long MAX_RESIGNATION_WAIT_NANOS = Duration.ofSeconds(8).toNanos();

  private final Member self;
  private final FailureDetector detector;
  private final Candidacies candidacies;
  private final DomainMarks marks;
  private final DomainMarkPusher markPusher;
  private final RosterKeeper keeper;
  private final CompareAndSwapLoop<List<DomainMark>> marksLoop;
  private Configuration configuration = Configuration.builder().build();
  private Map<String, VmState> vms = Map.of();
  private Set<NodeId> leavingNodes = Set.of();
  private List<NodeId> alive;
  private Set<NodeId> unreachableMembers = Set.of();
  private long aliveRevision;
  private long lastRosterRequestNanos;
  private long lastConfirmationNanos;
  private long confirmedRevision;
  private Optional<Long> resigningSinceNanos = Optional.empty();

  /**
   * Creates the membership of a process that knows neither roster nor configuration.
   *
   * @param self this node and its process
   * @param timing periods and timeouts of loans
   * @param inFlight requests of an upstream that this node granted and that have not ended
   * @param random source of jitter and of the random order of probes
   * @param nowNanos monotonic time in nanoseconds
   */
  public Membership(
      Member self,
      LoanTiming timing,
      ToIntFunction<UpstreamId> inFlight,
      RandomGenerator random,
      long nowNanos) {
    this.self = requireNonNull(self, "self");
    detector = new FailureDetector(self.id(), self.incarnation(), random, nowNanos);
    candidacies = new Candidacies(self, timing, this, inFlight, nowNanos);
    marks = new DomainMarks(self.id());
    markPusher = new DomainMarkPusher(self.id(), random);
    keeper = new RosterKeeper(self, timing, random, nowNanos);
    marksLoop = new CompareAndSwapLoop<>(List.of(), random, nowNanos);
    alive = List.of(self.id());
    lastRosterRequestNanos = nowNanos - ROSTER_REQUEST_INTERVAL_NANOS;
    lastConfirmationNanos = nowNanos;
  }

  /**
   * Sets the configuration.
   *
   * @param next the configuration in force
   * @param nowNanos monotonic time in nanoseconds
   */
  public void configure(Configuration next, long nowNanos) {
    configuration = requireNonNull(next, "next");
    candidacies.configure(next.upstreams(), this::deadlineNanos, nowNanos);
    keeper.updateTiming(candidacies.timing());
  }

  private long deadlineNanos(ServiceId service) {
    Duration deadline =
        configuration
            .service(service)
            .map(Service::deadline)
            .orElse(configuration.limits().requestDeadline());
    return LoanTiming.of(deadline).deadlineNanos();
  }

  /**
   * Sets the platform's list of VMs. Whether a node is alive is decided by what this node observes
   * rather than by the list, but the list alone suffices to keep new work away.
   *
   * @param states states of VMs by host
   */
  public void vms(Map<String, VmState> states) {
    if (!vms.equals(states)) {
      vms = Map.copyOf(states);
      refreshLeaving();
    }
  }

  /**
   * Applies a roster from the platform or a peer; one that is not newer is ignored.
   *
   * @param next the roster
   * @param nowNanos monotonic time in nanoseconds
   * @return true if it is now in use
   */
  public boolean adopt(Roster next, long nowNanos) {
    if (next.revision() <= roster().revision()) {
      return false;
    }
    candidacies.adopt(next, nowNanos);
    detector.updateMembers(next.members(), nowNanos);
    keeper.adopt(next, candidacies.assignments(), nowNanos);
    refreshLeaving();
    refreshAlive(detector.unreachable());
    return true;
  }

  /**
   * Merges marks of failure domains from the platform or a peer.
   *
   * @param stored the marks
   * @param nowNanos monotonic time in nanoseconds
   */
  public void mergeMarks(List<DomainMark> stored, long nowNanos) {
    if (stored.isEmpty()) {
      return;
    }
    long newMarks = stored.stream().filter(mark -> marks.merge(mark, nowNanos)).count();
    if (newMarks > 0) {
      markPusher.marksChanged();
      refreshLeaving();
    }
  }

  /**
   * Marks a failure domain as an operator requested.
   *
   * @param domain the domain
   * @param leaving true to stop new work in the domain, false to bring it back
   * @param nowNanos monotonic time in nanoseconds
   * @return the mark in force
   */
  public DomainMark markDomain(FailureDomain domain, boolean leaving, long nowNanos) {
    DomainMark mark = marks.set(domain, leaving, nowNanos);
    marksLoop.addChange(stored -> DomainMarks.union(stored, marks.all()));
    markPusher.marksChanged();
    refreshLeaving();
    return mark;
  }

  /**
   * Starts to leave: this node no longer owns upstreams and is no longer listed for callers.
   *
   * @param nowNanos monotonic time in nanoseconds
   */
  public void leave(long nowNanos) {
    keeper.leave();
    refreshLeaving();
    candidacies.updateRoles(nowNanos);
  }

  /**
   * Removes this node from the roster once none of its slots is lent and its requests have ended,
   * or after a timeout.
   *
   * @param nowNanos monotonic time in nanoseconds
   */
  public void resign(long nowNanos) {
    if (resigningSinceNanos.isEmpty()) {
      leave(nowNanos);
      candidacies.stopLending();
      resigningSinceNanos = Optional.of(nowNanos);
    }
  }

  /**
   * Tells whether this node has left the roster.
   *
   * @return true once a roster without it is in use
   */
  public boolean isResigned() {
    return keeper.isResigned();
  }

  /**
   * Sends what is due and updates ownership and roster; called once each tick.
   *
   * @param nowNanos monotonic time in nanoseconds
   * @return messages to send
   */
  public List<OutgoingMessage> tick(long nowNanos) {
    List<OutgoingMessage> out = new ArrayList<>();
    out.addAll(detector.tick(this::probe, this::indirectProbeRequest, nowNanos));
    candidacies.updateRoles(nowNanos);
    candidacies.takeSilentOwners().forEach(node -> detector.suspect(node, nowNanos));
    out.addAll(candidacies.tick(this::gossip, nowNanos));
    confirmRoster(out, nowNanos);
    resignWhenDrained(nowNanos);
    keeper.tick(
        new RosterKeeper.Observation(this, detector.dead(nowNanos), detector.isCutOff(), vms),
        nowNanos);
    storeMarks();
    out.addAll(markPusher.tick(roster().members(), marks.all()));
    refreshAlive(detector.unreachable());
    return out;
  }

  private void storeMarks() {
    if (!marks.all().isEmpty() && marksLoop.isIdle() && isWatcher()) {
      marksLoop.addChange(stored -> DomainMarks.union(stored, marks.all()));
    }
  }

  private void resignWhenDrained(long nowNanos) {
    if (resigningSinceNanos.isPresent() && !keeper.isResigned()) {
      boolean isDrained = candidacies.isDrained(nowNanos);
      if (isDrained || nowNanos - resigningSinceNanos.get() >= MAX_RESIGNATION_WAIT_NANOS) {
        keeper.resign(isDrained ? Reason.RESIGNED : Reason.GONE);
      }
    }
  }

  private void confirmRoster(List<OutgoingMessage> out, long nowNanos) {
    boolean isNew = confirmedRevision != roster().revision();
    boolean isDue = isNew || nowNanos - lastConfirmationNanos >= CONFIRMATION_INTERVAL_NANOS;
    if (roster().isSettled() || !isDue) {
      return;
    }
    candidacies
        .confirmedGeneration(nowNanos)
        .ifPresent(
            generation -> {
              confirmedRevision = roster().revision();
              lastConfirmationNanos = nowNanos;
              RosterConfirmation confirmation =
                  new RosterConfirmation(confirmedRevision, generation);
              keeper.keepers(this).forEach(to -> sendOrHandle(to, confirmation, out));
            });
  }

  private void sendOrHandle(NodeId to, RosterConfirmation confirmation, List<OutgoingMessage> out) {
    if (to.equals(self.id())) {
      keeper.onConfirmation(to, confirmation);
    } else {
      out.add(new OutgoingMessage(to, confirmation));
    }
  }

  /**
   * Handles a message of a peer.
   *
   * @param from the sender
   * @param message the message
   * @param nowNanos monotonic time in nanoseconds
   * @return messages to send
   */
  public List<OutgoingMessage> receive(NodeId from, PeerMessage message, long nowNanos) {
    detector.messageReceived(from, nowNanos);
    List<OutgoingMessage> out = new ArrayList<>();
    if (message instanceof Probe probe) {
      onProbe(from, probe, out, nowNanos);
    } else if (message instanceof ProbeAck ack) {
      onAck(from, ack, out, nowNanos);
    } else if (message instanceof IndirectProbeRequest via) {
      handleGossip(from, via.epoch(), Gossip.none(), out, nowNanos);
      NodeId target = NodeId.of(via.target());
      detector
          .onIndirectProbeRequest(from, via, nowNanos)
          .ifPresent(sequence -> out.add(new OutgoingMessage(target, probe(sequence, List.of()))));
    } else if (message instanceof LoanRequest request) {
      handleGossip(from, request.epoch(), request.gossip(), out, nowNanos);
      out.add(
          new OutgoingMessage(from, candidacies.onLoanRequest(from, request, gossip(), nowNanos)));
    } else if (message instanceof LoanResponse response) {
      handleGossip(from, response.epoch(), response.gossip(), out, nowNanos);
      candidacies.onLoanResponse(from, response, nowNanos);
    } else if (message instanceof LoanReturn returned) {
      handleGossip(from, returned.epoch(), Gossip.none(), out, nowNanos);
      candidacies.onLoanReturn(from, returned, nowNanos);
    } else {
      receiveRoster(from, message, out, nowNanos);
    }
    return out;
  }

  private void receiveRoster(
      NodeId from, PeerMessage message, List<OutgoingMessage> out, long nowNanos) {
    if (message instanceof RosterRequest request) {
      if (roster().revision() > request.epoch()) {
        out.add(new OutgoingMessage(from, RosterDocument.of(roster())));
        out.add(new OutgoingMessage(from, new DomainMarksMessage(marks.all())));
      }
    } else if (message instanceof RosterDocument doc) {
      adopt(doc.roster(), nowNanos);
    } else if (message instanceof DomainMarksMessage doc) {
      mergeMarks(doc.marks(), nowNanos);
    } else if (message instanceof RosterConfirmation confirmation) {
      handleGossip(from, confirmation.epoch(), Gossip.none(), out, nowNanos);
      keeper.onConfirmation(from, confirmation);
    }
  }

  private void onProbe(NodeId from, Probe probe, List<OutgoingMessage> out, long nowNanos) {
    handleGossip(from, probe.epoch(), probe.gossip(), out, nowNanos);
    out.add(new OutgoingMessage(from, ack(probe.sequence())));
    compareMarks(from, probe.marksDigest(), out);
  }

  private void onAck(NodeId from, ProbeAck ack, List<OutgoingMessage> out, long nowNanos) {
    handleGossip(from, ack.epoch(), ack.gossip(), out, nowNanos);
    detector
        .onAck(ack.sequence(), nowNanos)
        .ifPresent(
            relayed -> out.add(new OutgoingMessage(relayed.origin(), ack(relayed.sequence()))));
    compareMarks(from, ack.marksDigest(), out);
  }

  private void compareMarks(NodeId from, int digest, List<OutgoingMessage> out) {
    if (digest != marks.digest() && !marks.all().isEmpty()) {
      out.add(new OutgoingMessage(from, new DomainMarksMessage(marks.all())));
    }
  }

  private void handleGossip(
      NodeId from, long epoch, Gossip gossip, List<OutgoingMessage> out, long nowNanos) {
    gossip.updates().forEach(update -> detector.onUpdate(update, nowNanos));
    mergeMarks(gossip.marks(), nowNanos);
    if (epoch > roster().revision()
        && nowNanos - lastRosterRequestNanos >= ROSTER_REQUEST_INTERVAL_NANOS) {
      lastRosterRequestNanos = nowNanos;
      out.add(new OutgoingMessage(from, new RosterRequest(roster().revision())));
    }
  }

  private Gossip gossip() {
    return gossip(List.of());
  }

  private Gossip gossip(List<MemberUpdate> first) {
    List<MemberUpdate> updates = detector.nextUpdates();
    if (!first.isEmpty()) {
      updates = new ArrayList<>(updates);
      updates.addAll(first);
    }
    return new Gossip(updates, marks.nextMarks());
  }

  private Probe probe(int sequence, List<MemberUpdate> suspicion) {
    return new Probe(roster().revision(), sequence, marks.digest(), gossip(suspicion));
  }

  private ProbeAck ack(int sequence) {
    return new ProbeAck(roster().revision(), sequence, marks.digest(), gossip());
  }

  private IndirectProbeRequest indirectProbeRequest(int sequence, String target) {
    return new IndirectProbeRequest(roster().revision(), sequence, target);
  }

  private void refreshLeaving() {
    Set<NodeId> leaving = new HashSet<>();
    for (Member member : roster().members()) {
      boolean isVmLeaving = vms.get(member.host()) == VmState.LEAVING;
      if (member.leaving() || isVmLeaving || marks.isLeaving(member.domain())) {
        leaving.add(member.id());
      }
    }
    if (keeper.isLeaving()) {
      leaving.add(self.id());
    }
    leavingNodes = Set.copyOf(leaving);
  }

  private void refreshAlive(Set<NodeId> unreachable) {
    List<Member> members = roster().members();
    boolean isSame = aliveRevision == roster().revision() && unreachable.equals(unreachableMembers);
    if (isSame) {
      return;
    }
    aliveRevision = roster().revision();
    unreachableMembers = unreachable;
    List<NodeId> next = new ArrayList<>();
    members.stream().map(Member::id).filter(id -> !unreachable.contains(id)).forEach(next::add);
    alive = next.contains(self.id()) ? List.copyOf(next) : with(next, self.id());
  }

  private static List<NodeId> with(List<NodeId> nodes, NodeId node) {
    List<NodeId> result = new ArrayList<>(nodes);
    result.add(node);
    return List.copyOf(result);
  }

  @Override
  public boolean isReachable(NodeId node) {
    return detector.isReachable(node);
  }

  @Override
  public boolean mayOwn(NodeId node) {
    return !leavingNodes.contains(node);
  }

  /**
   * Publishes the window of an owned upstream.
   *
   * @param upstream the upstream
   * @param state the state of its window
   */
  public void publishWindow(UpstreamId upstream, WindowState state) {
    candidacies.publishWindow(upstream, state);
  }

  /**
   * Returns the state that other threads may read.
   *
   * @return an immutable view
   */
  public MembershipView view() {
    Map<UpstreamId, MembershipView.Role> roles = new HashMap<>();
    for (UpstreamId upstream : candidacies.upstreams()) {
      roles.put(
          upstream,
          new MembershipView.Role(
              candidacies.owner(upstream),
              candidacies.usableSlots(upstream),
              candidacies.window(upstream)));
    }
    return new MembershipView(
        roster(),
        candidacies.assignments(),
        configuration,
        alive,
        unreachableMembers,
        leavingNodes,
        Map.copyOf(roles),
        marks.all(),
        marks.shares(),
        vms);
  }

  /**
   * Returns the roster in use.
   *
   * @return the newest that was adopted
   */
  public Roster roster() {
    return candidacies.roster();
  }

  /**
   * Tells whether this node watches the platform's keys on behalf of the fleet.
   *
   * @return true on the few nodes that keep the roster, and on a node that knows no roster
   */
  public boolean isWatcher() {
    return keeper.isKeeper(this);
  }

  /**
   * Tells whether this node believes itself cut off from the fleet.
   *
   * @return true if most of its probes fail
   */
  public boolean isCutOff() {
    return detector.isCutOff();
  }

  /**
   * Returns the loop that changes the roster's key.
   *
   * @return the loop, whose calls the caller makes
   */
  public CompareAndSwapLoop<Roster> rosterLoop() {
    return keeper.loop();
  }

  /**
   * Returns the loop that changes the key of the domain marks.
   *
   * @return the loop, whose calls the caller makes
   */
  public CompareAndSwapLoop<List<DomainMark>> marksLoop() {
    return marksLoop;
  }
}
