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
import org.dandelionbeam.membership.Gossip.Rumour;

/**
 * Failure detector with direct and indirect probes, suspicion and refutation.
 *
 * <p>A node probes one member a period, so its cost does not grow with the fleet. A node whose
 * probes mostly fail takes itself for cut off: it condemns nobody until probes succeed again.
 */
public final class FailureDetector {
  private static final long PERIOD_NANOS = Duration.ofSeconds(1).toNanos();
  private static final long DIRECT_NANOS = Duration.ofMillis(350).toNanos();
  private static final long SUSPICION_NANOS = Duration.ofSeconds(5).toNanos();
  private static final long PAUSE_NANOS = Duration.ofMillis(1_500).toNanos();
  private static final long RECENT_NANOS = Duration.ofSeconds(1).toNanos();
  private static final int INDIRECT_PROBES = 3;
  private static final int MAX_PENALTY = 4;
  private static final int REMEMBERED_PROBES = 8;
  private static final int MAX_RELAYS = 64;

  private final NodeId self;
  private final RandomGenerator random;
  private final RumourQueue rumours = new RumourQueue();
  private final Map<NodeId, Peer> peers = new HashMap<>();
  private final Map<Integer, Relay> relays = new HashMap<>();
  private final List<NodeId> round = new ArrayList<>();
  private final List<Boolean> outcomes = new ArrayList<>();
  private final Set<NodeId> suspects = new HashSet<>();
  private final Set<NodeId> down = new HashSet<>();
  private Optional<Attempt> attempt = Optional.empty();
  private long incarnation;
  private long lastTickNanos;
  private long nextProbeNanos;
  private long nextLostProbeNanos;
  private int sequence;
  private int penalty;

  /**
   * Makes a detector that knows no members.
   *
   * @param self this node
   * @param incarnation number of this process
   * @param random source of the order of probes
   * @param nowNanos monotonic time
   */
  public FailureDetector(NodeId self, long incarnation, RandomGenerator random, long nowNanos) {
    this.self = requireNonNull(self, "self");
    this.random = requireNonNull(random, "random");
    this.incarnation = incarnation;
    lastTickNanos = nowNanos;
    nextProbeNanos = nowNanos + random.nextLong(PERIOD_NANOS);
    nextLostProbeNanos = nextProbeNanos;
  }

  /**
   * Takes the members of a roster.
   *
   * @param members the members
   * @param nowNanos monotonic time
   */
  public void members(Collection<Member> members, long nowNanos) {
    Set<NodeId> listed = new HashSet<>();
    for (Member member : members) {
      listed.add(member.id());
      Peer known = peers.get(member.id());
      boolean isNewProcess = known == null || member.incarnation() > known.incarnation;
      if (isNewProcess && !member.id().equals(self)) {
        set(member.id(), State.ALIVE, member.incarnation(), nowNanos);
      }
    }
    peers.keySet().retainAll(listed);
    suspects.retainAll(listed);
    down.retainAll(listed);
    round.retainAll(listed);
    rumours.retain(listed, self);
  }

  /**
   * Lets time pass.
   *
   * @param probe makes a probe with a sequence number
   * @param via makes a request for an indirect probe
   * @param nowNanos monotonic time
   * @return messages to send
   */
  public List<Outgoing> tick(ProbeFactory probe, ViaFactory via, long nowNanos) {
    noticePause(nowNanos);
    List<Outgoing> out = new ArrayList<>();
    attempt.filter(a -> isDirectOver(a, nowNanos)).ifPresent(a -> probeVia(a, via, out));
    if (nowNanos - nextProbeNanos >= 0) {
      attempt.ifPresent(a -> fail(a.target, nowNanos));
      attempt = Optional.empty();
      nextProbeNanos = nowNanos + PERIOD_NANOS * (1 + penalty / 2);
      nextTarget().ifPresent(target -> out.add(startProbe(target, probe, nowNanos)));
    }
    probeLost(probe, nowNanos).ifPresent(out::add);
    condemn(nowNanos);
    relays.values().removeIf(relay -> nowNanos - relay.at > PERIOD_NANOS);
    return out;
  }

  private void noticePause(long nowNanos) {
    long gap = nowNanos - lastTickNanos;
    lastTickNanos = nowNanos;
    if (gap >= PAUSE_NANOS) {
      attempt = Optional.empty();
      penalty = Math.min(MAX_PENALTY, penalty + 1);
      suspects.forEach(id -> peers.computeIfPresent(id, (key, peer) -> peer.later(gap)));
    }
  }

  private static boolean isDirectOver(Attempt attempt, long nowNanos) {
    return !attempt.indirect && nowNanos - attempt.at >= DIRECT_NANOS;
  }

  private void probeVia(Attempt direct, ViaFactory via, List<Outgoing> out) {
    attempt = Optional.of(new Attempt(direct.target, direct.sequence, direct.at, true));
    List<NodeId> others = new ArrayList<>(peers.keySet());
    others.remove(direct.target);
    for (int i = 0; i < INDIRECT_PROBES && !others.isEmpty(); i++) {
      NodeId helper = others.remove(random.nextInt(others.size()));
      out.add(new Outgoing(helper, via.make(direct.sequence, direct.target.name())));
    }
  }

  /**
   * Probes one of the members that are not reached, besides the regular probe, so that a healed
   * connection is noticed soon in fleets of any size.
   */
  private Optional<Outgoing> probeLost(ProbeFactory probe, long nowNanos) {
    if (down.isEmpty() || nowNanos - nextLostProbeNanos < 0) {
      return Optional.empty();
    }
    nextLostProbeNanos = nowNanos + PERIOD_NANOS;
    List<NodeId> lost = new ArrayList<>(down);
    Collections.sort(lost);
    NodeId target = lost.get(random.nextInt(lost.size()));
    return Optional.of(new Outgoing(target, probe.make(++sequence, suspicion(target))));
  }

  private Optional<NodeId> nextTarget() {
    if (round.isEmpty()) {
      round.addAll(peers.keySet());
      Collections.sort(round);
      Collections.shuffle(round, new Random(random.nextLong()));
    }
    return round.isEmpty() ? Optional.empty() : Optional.of(round.remove(round.size() - 1));
  }

  private Outgoing startProbe(NodeId target, ProbeFactory probe, long nowNanos) {
    attempt = Optional.of(new Attempt(target, ++sequence, nowNanos, false));
    return new Outgoing(target, probe.make(sequence, suspicion(target)));
  }

  /** Returns the suspicion of a member, so that it can refute it. */
  private List<Rumour> suspicion(NodeId target) {
    return Optional.ofNullable(peers.get(target))
        .filter(peer -> peer.state != State.ALIVE)
        .map(peer -> new Rumour(target.name(), peer.state.ordinal(), peer.incarnation))
        .map(List::of)
        .orElse(List.of());
  }

  private void fail(NodeId target, long nowNanos) {
    note(false);
    penalty = Math.min(MAX_PENALTY, penalty + 1);
    suspect(target, nowNanos);
  }

  /**
   * Suspects a member that does not do what it should, unless it was heard of recently.
   *
   * @param target the member
   * @param nowNanos monotonic time
   */
  public void suspect(NodeId target, long nowNanos) {
    Peer peer = peers.get(target);
    if (peer == null || nowNanos - peer.heard < RECENT_NANOS) {
      return;
    }
    peers.put(target, peer.withMiss());
    down.add(target);
    if (!isCutOff() && peer.state == State.ALIVE) {
      set(target, State.SUSPECT, peer.incarnation, nowNanos);
      rumours.add(target, State.SUSPECT, peer.incarnation);
    }
  }

  private void condemn(long nowNanos) {
    if (isCutOff()) {
      return;
    }
    for (NodeId id : List.copyOf(suspects)) {
      Peer peer = peers.get(id);
      if (nowNanos - peer.since >= SUSPICION_NANOS * (1 + penalty)) {
        set(id, State.DEAD, peer.incarnation, nowNanos);
        rumours.add(id, State.DEAD, peer.incarnation);
      }
    }
  }

  /**
   * Takes an answer to a probe, or of a relayed probe.
   *
   * @param answered sequence number of the answer
   * @param nowNanos monotonic time
   * @return whom to pass the answer on to, with its own sequence number
   */
  public Optional<Relayed> onAck(int answered, long nowNanos) {
    attempt
        .filter(a -> a.sequence == answered)
        .ifPresent(
            a -> {
              attempt = Optional.empty();
              note(true);
              penalty = Math.max(0, penalty - 1);
              heard(a.target, nowNanos);
            });
    return Optional.ofNullable(relays.remove(answered))
        .map(relay -> new Relayed(relay.origin, relay.sequence));
  }

  /**
   * Takes a request to probe a third member.
   *
   * @param from who asks
   * @param request the request
   * @param nowNanos monotonic time
   * @return sequence number of the probe to send, empty if too many are under way
   */
  public Optional<Integer> onProbeVia(NodeId from, ProbeVia request, long nowNanos) {
    if (relays.size() >= MAX_RELAYS) {
      return Optional.empty();
    }
    relays.put(++sequence, new Relay(from, request.sequence(), nowNanos));
    return Optional.of(sequence);
  }

  /**
   * Notes that a message of a member arrived.
   *
   * @param from the member
   * @param nowNanos monotonic time
   */
  public void heard(NodeId from, long nowNanos) {
    Peer peer = peers.get(from);
    if (peer == null) {
      return;
    }
    peers.put(from, peer.heardAt(nowNanos));
    if (peer.state == State.ALIVE) {
      down.remove(from);
    }
  }

  /**
   * Takes a rumour of a member; one about this node is refuted.
   *
   * @param rumour the rumour
   * @param nowNanos monotonic time
   */
  public void onRumour(Rumour rumour, long nowNanos) {
    NodeId id = NodeId.of(rumour.node());
    State state = State.of(rumour.state());
    if (id.equals(self)) {
      refute(state, rumour.incarnation());
      return;
    }
    Peer peer = peers.get(id);
    if (peer != null && peer.isReplacedBy(state, rumour.incarnation())) {
      set(id, state, rumour.incarnation(), nowNanos);
      rumours.add(id, state, rumour.incarnation());
    }
  }

  /** Who suspects an older incarnation has not heard of this one, so it is announced again. */
  private void refute(State state, long suspected) {
    if (state != State.ALIVE) {
      incarnation = Math.max(incarnation, suspected + 1);
      rumours.add(self, State.ALIVE, incarnation);
    }
  }

  private void set(NodeId id, State state, long of, long nowNanos) {
    Peer before = peers.get(id);
    long heard = before == null ? nowNanos : before.heard;
    boolean missed = before != null && before.missed && state != State.ALIVE;
    peers.put(id, new Peer(state, of, nowNanos, heard, missed));
    mark(suspects, id, state == State.SUSPECT);
    mark(down, id, state != State.ALIVE);
  }

  private static void mark(Set<NodeId> set, NodeId id, boolean contained) {
    if (contained) {
      set.add(id);
    } else {
      set.remove(id);
    }
  }

  private void note(boolean answered) {
    outcomes.add(answered);
    if (outcomes.size() > REMEMBERED_PROBES) {
      outcomes.remove(0);
    }
  }

  /**
   * Tells whether this node takes itself for cut off.
   *
   * @return true if at least two and more than half of the last probes failed
   */
  public boolean isCutOff() {
    long failed = outcomes.stream().filter(answered -> !answered).count();
    return failed >= 2 && 2 * failed > outcomes.size();
  }

  /**
   * Tells whether messages to a node are believed to arrive.
   *
   * @param node the node
   * @return false for members that are suspected, dead, or missed the last probe
   */
  public boolean isReachable(NodeId node) {
    return !down.contains(node) || isRecent(peers.get(node));
  }

  private boolean isRecent(Peer peer) {
    return lastTickNanos - peer.heard < PERIOD_NANOS && peer.heard - peer.since > 0;
  }

  /**
   * Returns the members that are not reachable.
   *
   * @return an immutable set
   */
  public Set<NodeId> unreachable() {
    if (down.isEmpty()) {
      return Set.of();
    }
    return down.stream().filter(id -> !isReachable(id)).collect(Collectors.toUnmodifiableSet());
  }

  /**
   * Returns the members that are believed dead.
   *
   * @param nowNanos monotonic time
   * @return for how long each has been dead, in nanoseconds
   */
  public Map<NodeId, Long> dead(long nowNanos) {
    Map<NodeId, Long> dead = new HashMap<>();
    for (NodeId id : down) {
      Peer peer = peers.get(id);
      if (peer.state == State.DEAD && !isRecent(peer)) {
        dead.put(id, nowNanos - peer.since);
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
   * Returns rumours to put on a message, and counts them as sent once.
   *
   * @return a bounded list
   */
  public List<Rumour> nextRumours() {
    return rumours.next(peers.size() + 1);
  }

  /** What is believed of a member. */
  public enum State {
    /** It answers. */
    ALIVE,
    /** It did not answer, and may still refute the suspicion. */
    SUSPECT,
    /** It refuted nothing in time. */
    DEAD;

    private static final State[] ALL = values();

    static State of(int index) {
      return ALL[Math.floorMod(index, ALL.length)];
    }
  }

  /** Makes a probe. */
  @FunctionalInterface
  public interface ProbeFactory {
    /**
     * Makes a probe.
     *
     * @param sequence number that the answer repeats
     * @param suspicion what the member has to refute
     * @return the message
     */
    Probe make(int sequence, List<Rumour> suspicion);
  }

  /** Makes a request for an indirect probe. */
  @FunctionalInterface
  public interface ViaFactory {
    /**
     * Makes a request.
     *
     * @param sequence number that the answer repeats
     * @param target name of the member to probe
     * @return the message
     */
    ProbeVia make(int sequence, String target);
  }

  /**
   * Answer to pass on.
   *
   * @param origin who asked for the indirect probe
   * @param sequence number that it gave
   */
  public record Relayed(NodeId origin, int sequence) {}

  private record Relay(NodeId origin, int sequence, long at) {}

  private record Attempt(NodeId target, int sequence, long at, boolean indirect) {}

  private record Peer(State state, long incarnation, long since, long heard, boolean missed) {
    Peer heardAt(long nowNanos) {
      return new Peer(state, incarnation, since, nowNanos, false);
    }

    Peer withMiss() {
      return new Peer(state, incarnation, since, heard, true);
    }

    Peer later(long gap) {
      return new Peer(state, incarnation, since + gap, heard, missed);
    }

    boolean isReplacedBy(State next, long nextIncarnation) {
      return nextIncarnation > incarnation
          || nextIncarnation == incarnation && next.compareTo(state) > 0;
    }
  }
}
