package org.dandelionbeam.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.BiPredicate;
import java.util.function.ObjLongConsumer;
import java.util.function.Predicate;
import org.dandelionbeam.base.NodeId;
import org.dandelionbeam.base.UpstreamId;
import org.dandelionbeam.config.Configuration;
import org.dandelionbeam.config.Upstream;
import org.dandelionbeam.peer.PeerMessage;

/** Membership of many nodes in simulated time, with a direct network and a platform in memory. */
final class MembershipFleet {
  private static final long TICK_NANOS = Duration.ofMillis(250).toNanos();
  private static final long DELAY_NANOS = Duration.ofMillis(2).toNanos();
  private static final Duration DEADLINE = Duration.ofSeconds(10);
  static final int DOMAINS = 3;

  final Random random;
  final Map<NodeId, Node> nodes = new TreeMap<>();
  final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::order));
  final Configuration configuration;
  BiPredicate<NodeId, NodeId> isCut = (from, to) -> false;
  ObjLongConsumer<PeerMessage> meter = (message, nanos) -> {};
  Map<String, VmState> vms = Map.of();
  Roster stored = Roster.empty();
  List<DomainMark> storedMarks = List.of();
  long storedMarksRevision;
  boolean platformUp = true;
  boolean answersLost;
  boolean underLoad;
  final List<CandidacyFleet.Request> requests = new ArrayList<>();
  int platformCalls;
  long now;
  private long order;
  private long incarnations;

  MembershipFleet(long seed, int upstreams) {
    random = new Random(seed);
    Configuration.Builder builder = Configuration.builder().revision(1);
    for (int i = 1; i <= upstreams; i++) {
      builder.upstream(CandidacyFleet.upstream(i, 16, 2));
    }
    configuration = builder.build();
  }

  /** Creates a fleet whose nodes all know one settled roster. */
  static MembershipFleet settled(long seed, int size, int upstreams) {
    MembershipFleet fleet = new MembershipFleet(seed, upstreams);
    Roster roster = Roster.empty();
    for (Member member : RendezvousTest.members(size, DOMAINS)) {
      roster = roster.join(member);
    }
    fleet.stored = roster.settle(roster.generation()).atRevision(1);
    fleet.incarnations = 1;
    for (Member member : fleet.stored.members()) {
      fleet.add(member).membership.adopt(fleet.stored, fleet.now);
    }
    return fleet;
  }

  Node start(int number) {
    Member plain = RendezvousTest.member(number, DOMAINS);
    return add(
        new Member(
            plain.id(), plain.host(), 1, 2, plain.domain(), ++incarnations, plain.leaving()));
  }

  private Node add(Member member) {
    Node node = new Node(member);
    nodes.put(member.id(), node);
    at(now + random.nextLong(TICK_NANOS), node::tick);
    return node;
  }

  void kill(NodeId id) {
    nodes.remove(id).killed = true;
  }

  int usableCold(Upstream upstream) {
    return nodes.values().stream()
        .mapToInt(node -> node.view().slots(upstream.id(), now).cold())
        .sum();
  }

  long inFlight(Upstream upstream) {
    requests.removeIf(request -> request.endNanos() <= now);
    return requests.stream().filter(request -> request.upstream().equals(upstream.id())).count();
  }

  void at(long time, Runnable task) {
    events.add(new Event(time, order++, task));
  }

  void run(Duration time) {
    runUntil(fleet -> false, time);
  }

  /**
   * Runs until a condition holds, and returns the time taken, empty if the condition did not hold
   * in time.
   */
  Optional<Duration> runUntil(Predicate<MembershipFleet> condition, Duration limit) {
    long start = now;
    long end = now + limit.toNanos();
    long nextCheck = now;
    while (!events.isEmpty() && events.peek().at <= end) {
      Event event = events.poll();
      now = event.at;
      event.task.run();
      if (now >= nextCheck) {
        nextCheck = now + Duration.ofMillis(10).toNanos();
        if (condition.test(this)) {
          return Optional.of(Duration.ofNanos(now - start));
        }
      }
    }
    now = end;
    return Optional.empty();
  }

  private void send(NodeId from, NodeId to, PeerMessage message) {
    meter.accept(message, 0);
    at(now + DELAY_NANOS + random.nextLong(DELAY_NANOS), () -> deliver(from, to, message));
  }

  private void deliver(NodeId from, NodeId to, PeerMessage message) {
    Node node = nodes.get(to);
    if (node == null || isCut.test(from, to)) {
      return;
    }
    if (now < node.pausedUntil) {
      at(node.pausedUntil, () -> deliver(from, to, message));
      return;
    }
    node.receive(from, message);
  }

  /** One process. */
  final class Node {
    final Member member;
    final Membership membership;
    long pausedUntil;
    boolean killed;

    Node(Member member) {
      this.member = member;
      membership = new Membership(member, LoanTiming.of(DEADLINE), this::granted, random, now);
      membership.configure(configuration, now);
    }

    MembershipView view() {
      return membership.view();
    }

    private void tick() {
      if (killed) {
        return;
      }
      if (now < pausedUntil) {
        at(pausedUntil, this::tick);
        return;
      }
      membership.vms(vms);
      long before = System.nanoTime();
      List<OutgoingMessage> out = membership.tick(now);
      meter.accept(null, System.nanoTime() - before);
      sendAll(out);
      membership.rosterLoop().nextCall(now).ifPresent(this::call);
      membership.marksLoop().nextCall(now).ifPresent(this::callMarks);
      if (platformUp && membership.isWatcher()) {
        membership.adopt(stored, now);
      }
      if (underLoad) {
        grant();
      }
      at(now + TICK_NANOS, this::tick);
    }

    private int granted(UpstreamId upstream) {
      return (int)
          requests.stream()
              .filter(request -> request.upstream().equals(upstream) && request.endNanos() > now)
              .filter(request -> request.incarnation() == member.incarnation())
              .count();
    }

    private void grant() {
      MembershipView view = view();
      for (Upstream upstream : configuration.upstreams()) {
        if (granted(upstream.id()) < view.slots(upstream.id(), now).cold()) {
          long end = now + random.nextLong(DEADLINE.toNanos());
          requests.add(new CandidacyFleet.Request(upstream.id(), member.incarnation(), end));
        }
      }
    }

    private void receive(NodeId from, PeerMessage message) {
      long before = System.nanoTime();
      List<OutgoingMessage> out = membership.receive(from, message, now);
      meter.accept(null, System.nanoTime() - before);
      sendAll(out);
    }

    private void sendAll(List<OutgoingMessage> out) {
      new ArrayList<>(out).forEach(each -> send(member.id(), each.to(), each.message()));
    }

    private void call(CompareAndSwapLoop.Call<Roster> call) {
      platformCalls++;
      boolean swapped = false;
      if (platformUp && call instanceof CompareAndSwapLoop.Swap<Roster> swap) {
        swapped = swap.expectedRevision() == stored.revision();
        stored = swapped ? swap.value().atRevision(stored.revision() + 1) : stored;
      }
      boolean answered = platformUp && !(answersLost && random.nextBoolean());
      boolean outcome = swapped;
      Roster answer = stored;
      at(now + DELAY_NANOS, () -> answer(call, answered, outcome, answer));
    }

    private void answer(
        CompareAndSwapLoop.Call<Roster> call, boolean answered, boolean swapped, Roster answer) {
      CompareAndSwapLoop<Roster> loop = membership.rosterLoop();
      if (!answered) {
        loop.onFailed(now);
      } else if (call instanceof CompareAndSwapLoop.Swap<Roster>) {
        loop.onSwapped(swapped, answer.revision(), answer, now);
      } else {
        loop.onRead(answer.revision(), answer, now);
      }
      if (answered) {
        membership.adopt(answer, now);
      }
    }

    private void callMarks(CompareAndSwapLoop.Call<List<DomainMark>> call) {
      CompareAndSwapLoop<List<DomainMark>> loop = membership.marksLoop();
      if (!platformUp) {
        loop.onFailed(now);
      } else if (call instanceof CompareAndSwapLoop.Swap<List<DomainMark>> swap) {
        boolean swapped = swap.expectedRevision() == storedMarksRevision;
        if (swapped) {
          storedMarksRevision++;
          storedMarks = swap.value();
        }
        loop.onSwapped(swapped, storedMarksRevision, storedMarks, now);
      } else {
        loop.onRead(storedMarksRevision, storedMarks, now);
      }
    }
  }

  record Event(long at, long order, Runnable task) {}
}
