package org.dandelionbeam.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import org.dandelionbeam.base.FailureDomain;
import org.dandelionbeam.base.NodeId;
import org.dandelionbeam.base.ServiceId;
import org.dandelionbeam.base.UpstreamId;
import org.dandelionbeam.config.Upstream;
import org.dandelionbeam.membership.Departure.Reason;
import org.dandelionbeam.peer.PeerMessage;

/** Candidacies of several nodes in simulated time, with a lossy network and granted requests. */
final class CandidacyFleet {
  static final long STEP_NANOS = Duration.ofMillis(50).toNanos();
  private static final Duration DEADLINE = Duration.ofSeconds(6);
  private static final LoanTiming TIMING = LoanTiming.of(DEADLINE);

  final RandomGenerator random;
  final Map<NodeId, Node> nodes = new TreeMap<>();
  final Set<List<NodeId>> blocked = new HashSet<>();
  final List<Upstream> upstreams;
  final PriorityQueue<PendingMessage> pendingMessages =
      new PriorityQueue<>(Comparator.comparingLong(PendingMessage::dueNanos));
  final List<Request> requests = new ArrayList<>();
  Roster stored = Roster.empty();
  boolean platformUp = true;
  double lossRate;
  long maxDelayNanos = Duration.ofMillis(20).toNanos();
  long now;
  long incarnations;
  private long lastOverdueNanos;

  CandidacyFleet(RandomGenerator random, int size) {
    this.random = random;
    upstreams = List.of(upstream(1, 8, 2), upstream(2, 5, 1), upstream(3, 24, 7));
    for (int i = 0; i < size; i++) {
      start(NodeId.of("n" + i));
    }
  }

  static Upstream upstream(int number, int window, int cold) {
    return new Upstream(
        UpstreamId.of(number),
        "u" + number,
        ServiceId.of(1),
        FailureDomain.of("a"),
        "127.0.0.1",
        1,
        Set.of(),
        window,
        cold,
        false);
  }

  void start(NodeId id) {
    nodes.put(id, new Node(id, ++incarnations));
  }

  void kill(NodeId id) {
    nodes.remove(id);
  }

  void store(Roster next) {
    if (next != stored) {
      stored = next.atRevision(stored.revision() + 1);
    }
  }

  void leave(NodeId id, Reason reason) {
    store(stored.leave(id, reason));
  }

  void run(Duration time) {
    for (long end = now + time.toNanos(); now < end; ) {
      step();
    }
  }

  void step() {
    now += STEP_NANOS;
    requests.removeIf(request -> request.endNanos <= now);
    while (!pendingMessages.isEmpty() && pendingMessages.peek().dueNanos <= now) {
      deliver(pendingMessages.poll());
    }
    nodes.values().stream().filter(node -> !node.paused).forEach(Node::step);
    if (nodes.values().stream()
        .anyMatch(node -> node.entitlements.isSettlementOverdue(node.clock()))) {
      lastOverdueNanos = now;
    }
  }

  /** Tells whether a node uses, or lent, slots by a roster that was not settled in time. */
  boolean wasSettlementOverdueRecently() {
    return lastOverdueNanos > 0 && now - lastOverdueNanos <= TIMING.loanNanos();
  }

  private void deliver(PendingMessage pending) {
    Node node = nodes.get(pending.to);
    if (node == null || blocked.contains(List.of(pending.from, pending.to))) {
      return;
    }
    if (node.paused) {
      pendingMessages.add(
          new PendingMessage(now + STEP_NANOS, pending.from, pending.to, pending.message));
      return;
    }
    node.receive(pending.from, pending.message);
  }

  private void send(NodeId from, NodeId to, PeerMessage message) {
    if (random.nextDouble() >= lossRate) {
      pendingMessages.add(
          new PendingMessage(now + random.nextLong(maxDelayNanos), from, to, message));
    }
  }

  int usableCold(Upstream upstream) {
    return nodes.values().stream().mapToInt(node -> node.slots(upstream).cold()).sum();
  }

  int usableWarm(Upstream upstream) {
    return nodes.values().stream().mapToInt(node -> node.slots(upstream).warm()).sum();
  }

  long inFlight(Upstream upstream) {
    return requests.stream().filter(request -> request.upstream.equals(upstream.id())).count();
  }

  /** One process, whose clock has its own origin. */
  final class Node implements Reachability {
    final NodeId id;
    final long incarnation;
    final long clockOriginNanos = random.nextLong() >> 2;
    final Candidacies entitlements;
    final RosterSettlement settlement = RosterSettlement.of(TIMING);
    final Set<NodeId> unreachable = new HashSet<>();
    boolean paused;
    private long steps;

    Node(NodeId id, long incarnation) {
      this.id = id;
      this.incarnation = incarnation;
      entitlements = new Candidacies(member(), TIMING, this, this::granted, clock());
      entitlements.configure(upstreams, clock());
    }

    Member member() {
      String domain = "d" + id.name().charAt(id.name().length() - 1) % 3;
      return new Member(id, "127.0.0.1", 1, 2, FailureDomain.of(domain), incarnation, false);
    }

    long clock() {
      return clockOriginNanos + now;
    }

    Slots slots(Upstream upstream) {
      return entitlements.slots(upstream.id(), clock());
    }

    private int granted(UpstreamId upstream) {
      return (int)
          requests.stream()
              .filter(request -> request.upstream.equals(upstream))
              .filter(request -> request.incarnation == incarnation)
              .count();
    }

    void step() {
      if (steps++ % 5 == 0) {
        entitlements.tick(Gossip::none, clock()).forEach(out -> send(id, out.to(), out.message()));
        syncWithPlatform();
        sendRosterToRandomNode();
      }
      upstreams.forEach(this::grant);
    }

    private void grant(Upstream upstream) {
      if (granted(upstream.id()) < slots(upstream).cold() && random.nextInt(4) == 0) {
        long length = 1 + random.nextLong(DEADLINE.toNanos() - STEP_NANOS);
        requests.add(new Request(upstream.id(), incarnation, now + length));
      }
    }

    private void syncWithPlatform() {
      if (!platformUp || random.nextInt(3) > 0) {
        return;
      }
      adopt(stored);
      store(stored.join(member()));
      adopt(stored);
      if (settlement.isDue(clock())) {
        store(stored.settle(entitlements.roster().generation()));
      }
    }

    private void sendRosterToRandomNode() {
      List<NodeId> others = List.copyOf(nodes.keySet());
      NodeId other = others.get(random.nextInt(others.size()));
      entitlements
          .confirmedGeneration(clock())
          .ifPresent(generation -> broadcast(others, new RosterConfirmation(0, generation)));
      send(id, other, new RosterPush(entitlements.roster()));
    }

    private void broadcast(List<NodeId> others, RosterConfirmation message) {
      others.forEach(other -> send(id, other, message));
    }

    private void adopt(Roster roster) {
      if (roster.revision() > entitlements.roster().revision()) {
        entitlements.adopt(roster, clock());
        settlement.adopt(roster, clock());
      }
    }

    void receive(NodeId from, PeerMessage message) {
      if (message instanceof LoanRequest ask) {
        send(id, from, entitlements.onLoanRequest(from, ask, Gossip.none(), clock()));
      } else if (message instanceof LoanResponse offer) {
        entitlements.onLoanResponse(from, offer, clock());
      } else if (message instanceof LoanReturn statement) {
        entitlements.onLoanReturn(from, statement, clock());
      } else if (message instanceof RosterConfirmation confirmed) {
        settlement.confirm(from, confirmed);
      } else if (message instanceof RosterPush taught) {
        adopt(taught.roster);
      }
    }

    @Override
    public boolean isReachable(NodeId node) {
      return !unreachable.contains(node);
    }

    @Override
    public boolean mayOwn(NodeId node) {
      return true;
    }
  }

  record RosterPush(Roster roster) implements PeerMessage {}

  record PendingMessage(long dueNanos, NodeId from, NodeId to, PeerMessage message) {}

  record Request(UpstreamId upstream, long incarnation, long endNanos) {}
}
