package org.dandelionbeam.membership;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.dandelionbeam.base.NodeId;
import org.dandelionbeam.membership.Gossip.MemberUpdate;

/**
 * Failure detector in the manner of SWIM, with direct and indirect probes, suspicion and
 * refutation.
 *
 * <p>A node probes one member per period, so its cost does not grow with the fleet. A node whose
 * probes mostly fail believes itself cut off: it suspects nobody and declares nobody dead until
 * probes succeed again.
 */
public final class FailureDetector {
  private static final long PROBE_PERIOD_NANOS = Duration.ofSeconds(1).toNanos();
  private static final long DIRECT_PROBE_TIMEOUT_NANOS = Duration.ofMillis(350).toNanos();
  private static final long SUSPICION_TIMEOUT_NANOS = Duration.ofSeconds(5).toNanos();
  private static final long MIN_PAUSE_NANOS = Duration.ofMillis(1_500).toNanos();
  private static final long RECENT_MESSAGE_NANOS = Duration.ofSeconds(1).toNanos();
  private static final int INDIRECT_PROBES = 3;
  private static final int MAX_LOCAL_HEALTH_PENALTY = 4;
  private static final int PROBE_HISTORY_LENGTH = 8;
  private static final int MAX_RELAYED_PROBES = 64;

  private final NodeId self;
  private final RandomGenerator random;
  private final MemberUpdateQueue updates = new MemberUpdateQueue();
  private final Map<NodeId, Peer> peers = new HashMap<>();
  private final Map<Integer, RelayedProbe> relayedProbes = new HashMap<>();
  private final List<NodeId> probeOrder = new ArrayList<>();
  private final List<Boolean> probeOutcomes = new ArrayList<>();
  private final Set<NodeId> suspects = new HashSet<>();
  private final Set<NodeId> unresponsive = new HashSet<>();
  private Optional<PendingProbe> pendingProbe = Optional.empty();
  private long incarnation;
  private long lastTickNanos;
  private long nextProbeNanos;
  private long nextUnresponsiveProbeNanos;
  private int sequence;
  private int localHealthPenalty;

  /**
   * Creates a detector that knows no members.
   *
   * @param self this node
   * @param incarnation incarnation of this process
   * @param random source of the random order of probes
   * @param nowNanos monotonic time in nanoseconds
   */
  public FailureDetector(NodeId self, long incarnation, RandomGenerator random, long nowNanos) {
    this.self = requireNonNull(self, "self");
    this.random = requireNonNull(random, "random");
    this.incarnation = incarnation;
    lastTickNanos = nowNanos;
    nextProbeNanos = nowNanos + random.nextLong(PROBE_PERIOD_NANOS);
    nextUnresponsiveProbeNanos = nextProbeNanos;
  }

  /**
   * Sets the members to watch; a new process of a member counts as alive.
   *
   * @param members the members of the roster in use
   * @param nowNanos monotonic time in nanoseconds
   */
  public void updateMembers(Collection<Member> members, long nowNanos) {
    Set<NodeId> listed = new HashSet<>();
    for (Member member : members) {
      listed.add(member.id());
      Peer known = peers.get(member.id());
      boolean isNewProcess = known == null || member.incarnation() > known.incarnation;
      if (isNewProcess && !member.id().equals(self)) {
        setState(member.id(), State.ALIVE, member.incarnation(), nowNanos);
      }
    }
    peers.keySet().retainAll(listed);
    suspects.retainAll(listed);
    unresponsive.retainAll(listed);
    probeOrder.retainAll(listed);
    updates.retain(listed, self);
  }

  /**
   * Sends due probes, and turns unanswered ones into suspicions and suspicions into deaths.
   *
   * @param probe creates a probe
   * @param indirectProbe creates a request for an indirect probe
   * @param nowNanos monotonic time in nanoseconds
   * @return messages to send
   */
  public List<OutgoingMessage> tick(
      ProbeFactory probe, IndirectProbeRequestFactory indirectProbe, long nowNanos) {
    detectPause(nowNanos);
    List<OutgoingMessage> out = new ArrayList<>();
    pendingProbe
        .filter(a -> isDirectProbeTimedOut(a, nowNanos))
        .ifPresent(a -> sendIndirectProbes(a, indirectProbe, out));
    if (nowNanos - nextProbeNanos >= 0) {
      pendingProbe.ifPresent(a -> probeFailed(a.target, nowNanos));
      pendingProbe = Optional.empty();
      nextProbeNanos = nowNanos + PROBE_PERIOD_NANOS * (1 + localHealthPenalty / 2);
      nextTarget().ifPresent(target -> out.add(startProbe(target, probe, nowNanos)));
    }
    probeUnresponsive(probe, nowNanos).ifPresent(out::add);
    declareDead(nowNanos);
    relayedProbes.values().removeIf(relay -> nowNanos - relay.sentNanos > PROBE_PERIOD_NANOS);
    return out;
  }

  private void detectPause(long nowNanos) {
    long gap = nowNanos - lastTickNanos;
    lastTickNanos = nowNanos;
    if (gap >= MIN_PAUSE_NANOS) {
      pendingProbe = Optional.empty();
      localHealthPenalty = Math.min(MAX_LOCAL_HEALTH_PENALTY, localHealthPenalty + 1);
      suspects.forEach(id -> peers.computeIfPresent(id, (key, peer) -> peer.delayedBy(gap)));
    }
  }

  private static boolean isDirectProbeTimedOut(PendingProbe probe, long nowNanos) {
    return !probe.indirect && nowNanos - probe.sentNanos >= DIRECT_PROBE_TIMEOUT_NANOS;
  }

  private void sendIndirectProbes(
      PendingProbe direct, IndirectProbeRequestFactory request, List<OutgoingMessage> out) {
    pendingProbe =
        Optional.of(new PendingProbe(direct.target, direct.sequence, direct.sentNanos, true));
    List<NodeId> others = new ArrayList<>(peers.keySet());
    others.remove(direct.target);
    for (int i = 0; i < INDIRECT_PROBES && !others.isEmpty(); i++) {
      NodeId helper = others.remove(random.nextInt(others.size()));
      out.add(new OutgoingMessage(helper, request.make(direct.sequence, direct.target.name())));
    }
  }

  /**
   * Probes one of the unresponsive members in addition to the regular probe, so that a healed
   * connection is noticed soon in fleets of any size.
   */
  private Optional<OutgoingMessage> probeUnresponsive(ProbeFactory probe, long nowNanos) {
    if (unresponsive.isEmpty() || nowNanos - nextUnresponsiveProbeNanos < 0) {
      return Optional.empty();
    }
    nextUnresponsiveProbeNanos = nowNanos + PROBE_PERIOD_NANOS;
    List<NodeId> targets = new ArrayList<>(unresponsive);
    Collections.sort(targets);
    NodeId target = targets.get(random.nextInt(targets.size()));
    return Optional.of(new OutgoingMessage(target, probe.make(++sequence, suspicion(target))));
  }

  private Optional<NodeId> nextTarget() {
    if (probeOrder.isEmpty()) {
      probeOrder.addAll(peers.keySet());
      Collections.sort(probeOrder);
      Collections.shuffle(probeOrder, new Random(random.nextLong()));
    }
    return probeOrder.isEmpty()
        ? Optional.empty()
        : Optional.of(probeOrder.remove(probeOrder.size() - 1));
  }

  private OutgoingMessage startProbe(NodeId target, ProbeFactory probe, long nowNanos) {
    pendingProbe = Optional.of(new PendingProbe(target, ++sequence, nowNanos, false));
    return new OutgoingMessage(target, probe.make(sequence, suspicion(target)));
  }

  /** Returns what is suspected of a member, so that the member can refute it. */
  private List<MemberUpdate> suspicion(NodeId target) {
    return Optional.ofNullable(peers.get(target))
        .filter(peer -> peer.state != State.ALIVE)
        .map(peer -> new MemberUpdate(target.name(), peer.state.ordinal(), peer.incarnation))
        .map(List::of)
        .orElse(List.of());
  }

  private void probeFailed(NodeId target, long nowNanos) {
    recordOutcome(false);
    localHealthPenalty = Math.min(MAX_LOCAL_HEALTH_PENALTY, localHealthPenalty + 1);
    suspect(target, nowNanos);
  }

  /**
   * Suspects a member that does not respond, unless a message of it arrived recently.
   *
   * @param target the member
   * @param nowNanos monotonic time in nanoseconds
   */
  public void suspect(NodeId target, long nowNanos) {
    Peer peer = peers.get(target);
    if (peer == null || nowNanos - peer.lastHeardNanos < RECENT_MESSAGE_NANOS) {
      return;
    }
    peers.put(target, peer.withMiss());
    unresponsive.add(target);
    if (!isCutOff() && peer.state == State.ALIVE) {
      setState(target, State.SUSPECT, peer.incarnation, nowNanos);
      updates.add(target, State.SUSPECT, peer.incarnation);
    }
  }

  private void declareDead(long nowNanos) {
    if (isCutOff()) {
      return;
    }
    for (NodeId id : List.copyOf(suspects)) {
      Peer peer = peers.get(id);
      if (nowNanos - peer.stateSinceNanos >= SUSPICION_TIMEOUT_NANOS * (1 + localHealthPenalty)) {
        setState(id, State.DEAD, peer.incarnation, nowNanos);
        updates.add(id, State.DEAD, peer.incarnation);
      }
    }
  }

  /**
   * Handles an acknowledgement of a probe or of a relayed probe.
   *
   * @param answered sequence number of the acknowledgement
   * @param nowNanos monotonic time in nanoseconds
   * @return the acknowledgement to forward, empty if the probe was not relayed
   */
  public Optional<RelayedAck> onAck(int answered, long nowNanos) {
    pendingProbe
        .filter(a -> a.sequence == answered)
        .ifPresent(
            a -> {
              pendingProbe = Optional.empty();
              recordOutcome(true);
              localHealthPenalty = Math.max(0, localHealthPenalty - 1);
              messageReceived(a.target, nowNanos);
            });
    return Optional.ofNullable(relayedProbes.remove(answered))
        .map(relay -> new RelayedAck(relay.origin, relay.sequence));
  }

  /**
   * Handles a request to probe a third member.
   *
   * @param from the member that sent the request
   * @param request the request
   * @param nowNanos monotonic time in nanoseconds
   * @return sequence number of the probe to send, empty if too many relayed probes are in progress
   */
  public Optional<Integer> onIndirectProbeRequest(
      NodeId from, IndirectProbeRequest request, long nowNanos) {
    if (relayedProbes.size() >= MAX_RELAYED_PROBES) {
      return Optional.empty();
    }
    relayedProbes.put(++sequence, new RelayedProbe(from, request.sequence(), nowNanos));
    return Optional.of(sequence);
  }

  /**
   * Records that a message of a member arrived.
   *
   * @param from the member
   * @param nowNanos monotonic time in nanoseconds
   */
  public void messageReceived(NodeId from, long nowNanos) {
    Peer peer = peers.get(from);
    if (peer == null) {
      return;
    }
    peers.put(from, peer.heardAt(nowNanos));
    if (peer.state == State.ALIVE) {
      unresponsive.remove(from);
    }
  }

  /**
   * Applies what another node says of a member; a suspicion of this node is refuted.
   *
   * @param update the update
   * @param nowNanos monotonic time in nanoseconds
   */
  public void onUpdate(MemberUpdate update, long nowNanos) {
    NodeId id = NodeId.of(update.node());
    State state = State.of(update.state());
    if (id.equals(self)) {
      refute(state, update.incarnation());
      return;
    }
    Peer peer = peers.get(id);
    if (peer != null && peer.isReplacedBy(state, update.incarnation())) {
      setState(id, state, update.incarnation(), nowNanos);
      updates.add(id, state, update.incarnation());
    }
  }

  /**
   * Refutes a suspicion. A node that suspects an older incarnation has not heard of the current
   * one, so that one is announced again.
   */
  private void refute(State state, long suspected) {
    if (state != State.ALIVE) {
      incarnation = Math.max(incarnation, suspected + 1);
      updates.add(self, State.ALIVE, incarnation);
    }
  }

  private void setState(NodeId id, State state, long ofIncarnation, long nowNanos) {
    Peer before = peers.get(id);
    long lastHeardNanos = before == null ? nowNanos : before.lastHeardNanos;
    boolean missed = before != null && before.missed && state != State.ALIVE;
    peers.put(id, new Peer(state, ofIncarnation, nowNanos, lastHeardNanos, missed));
    setContained(suspects, id, state == State.SUSPECT);
    setContained(unresponsive, id, state != State.ALIVE);
  }

  private static void setContained(Set<NodeId> set, NodeId id, boolean contained) {
    if (contained) {
      set.add(id);
    } else {
      set.remove(id);
    }
  }

  private void recordOutcome(boolean answered) {
    probeOutcomes.add(answered);
    if (probeOutcomes.size() > PROBE_HISTORY_LENGTH) {
      probeOutcomes.remove(0);
    }
  }

  /**
   * Tells whether this node believes itself cut off from the fleet.
   *
   * @return true if at least two and more than half of the last probes failed
   */
  public boolean isCutOff() {
    long failed = probeOutcomes.stream().filter(answered -> !answered).count();
    return failed >= 2 && 2 * failed > probeOutcomes.size();
  }

  /**
   * Tells whether messages to a node probably arrive.
   *
   * @param node the node
   * @return false for members that are suspected, dead, or did not acknowledge the last probe,
   *     unless a message of theirs arrived recently
   */
  public boolean isReachable(NodeId node) {
    return !unresponsive.contains(node) || isHeardRecently(peers.get(node));
  }

  private boolean isHeardRecently(Peer peer) {
    return lastTickNanos - peer.lastHeardNanos < PROBE_PERIOD_NANOS
        && peer.lastHeardNanos - peer.stateSinceNanos > 0;
  }

  /**
   * Returns the members that are not reachable.
   *
   * @return an immutable set
   */
  public Set<NodeId> unreachable() {
    if (unresponsive.isEmpty()) {
      return Set.of();
    }
    return unresponsive.stream()
        .filter(id -> !isReachable(id))
        .collect(Collectors.toUnmodifiableSet());
  }

  /**
   * Returns the members that are believed dead, with the time for which they have been so.
   *
   * @param nowNanos monotonic time in nanoseconds
   * @return nanoseconds since each was declared dead
   */
  public Map<NodeId, Long> dead(long nowNanos) {
    Map<NodeId, Long> dead = new HashMap<>();
    for (NodeId id : unresponsive) {
      Peer peer = peers.get(id);
      if (peer.state == State.DEAD && !isHeardRecently(peer)) {
        dead.put(id, nowNanos - peer.stateSinceNanos);
      }
    }
    return dead;
  }

  /**
   * Returns the state of a member.
   *
   * @param node the member
   * @return empty if the node is no member
   */
  public Optional<State> state(NodeId node) {
    return Optional.ofNullable(peers.get(node)).map(Peer::state);
  }

  /**
   * Returns updates to attach to a message and counts each as sent once.
   *
   * @return the updates, limited in number
   */
  public List<MemberUpdate> nextUpdates() {
    return updates.nextUpdates(peers.size() + 1);
  }

  /** State of a member as this node believes it. */
  public enum State {
    /** It responds. */
    ALIVE,
    /** It did not respond, and may still refute the suspicion. */
    SUSPECT,
    /** It did not refute the suspicion in time. */
    DEAD;

    private static final State[] ALL = values();

    static State of(int index) {
      return ALL[Math.floorMod(index, ALL.length)];
    }
  }

  /** Creates probes. */
  @FunctionalInterface
  public interface ProbeFactory {
    /**
     * Creates a probe.
     *
     * @param sequence number that the acknowledgement repeats
     * @param suspicion what the member is suspected of, empty if nothing
     * @return the message
     */
    Probe make(int sequence, List<MemberUpdate> suspicion);
  }

  /** Creates requests for indirect probes. */
  @FunctionalInterface
  public interface IndirectProbeRequestFactory {
    /**
     * Creates a request.
     *
     * @param sequence number that the acknowledgement repeats
     * @param target name of the member to probe
     * @return the message
     */
    IndirectProbeRequest make(int sequence, String target);
  }

  /**
   * Acknowledgement to forward.
   *
   * @param origin the member that requested the indirect probe
   * @param sequence sequence number of its request
   */
  public record RelayedAck(NodeId origin, int sequence) {}

  private record RelayedProbe(NodeId origin, int sequence, long sentNanos) {}

  private record PendingProbe(NodeId target, int sequence, long sentNanos, boolean indirect) {}

  private record Peer(
      State state, long incarnation, long stateSinceNanos, long lastHeardNanos, boolean missed) {
    Peer heardAt(long nowNanos) {
      return new Peer(state, incarnation, stateSinceNanos, nowNanos, false);
    }

    Peer withMiss() {
      return new Peer(state, incarnation, stateSinceNanos, lastHeardNanos, true);
    }

    Peer delayedBy(long gap) {
      return new Peer(state, incarnation, stateSinceNanos + gap, lastHeardNanos, missed);
    }

    boolean isReplacedBy(State next, long nextIncarnation) {
      return nextIncarnation > incarnation
          || nextIncarnation == incarnation && next.compareTo(state) > 0;
    }
  }
}
