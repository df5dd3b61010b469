package org.dandelionbeam.walk;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.dandelionbeam.base.FailureDomain;
import org.dandelionbeam.base.ModelId;
import org.dandelionbeam.base.NodeId;
import org.dandelionbeam.base.RequestId;
import org.dandelionbeam.base.ServiceId;
import org.dandelionbeam.base.TeamId;
import org.dandelionbeam.base.UpstreamId;
import org.dandelionbeam.config.Configuration;
import org.dandelionbeam.config.CostUnit;
import org.dandelionbeam.config.Service;
import org.dandelionbeam.config.ServiceType;
import org.dandelionbeam.config.Team;
import org.dandelionbeam.config.Upstream;
import org.dandelionbeam.dispatch.TicketRequest;
import org.dandelionbeam.membership.Member;
import org.dandelionbeam.peer.PeerMessage;

/**
 * Nodes in simulated time with a faulty network, and upstreams that count their requests in flight.
 */
final class WalkFleet {
  static final long STEP_NANOS = Duration.ofMillis(20).toNanos();
  static final Duration DEADLINE = Duration.ofSeconds(6);
  static final List<FailureDomain> DOMAINS =
      List.of(FailureDomain.of("d0"), FailureDomain.of("d1"), FailureDomain.of("d2"));
  private static final ServiceId SERVICE = ServiceId.of(1);
  private static final int TEAMS = 4;
  private static final int COLD_UPSTREAMS = 2;
  private static final int TRACE_LENGTH = Integer.getInteger("walk.trace", 60);

  final Random random;
  final Map<NodeId, WalkNode> nodes = new TreeMap<>();
  final Set<List<NodeId>> blocked = new HashSet<>();
  final List<WalkTicket> runningTickets = new ArrayList<>();
  final Configuration configuration = configuration();
  final WalkPlatform platform = new WalkPlatform(this);
  final Map<Set<NodeId>, Long> lastDisconnectedNanos = new HashMap<>();
  double lossRate;
  double repeatRate;
  long maxDelayNanos = Duration.ofMillis(20).toNanos();
  long now = Duration.ofHours(1).toNanos();
  int grants;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::due).thenComparingLong(Event::order));
  private final Deque<String> trace = new ArrayDeque<>();
  private long order;
  private long incarnations;

  WalkFleet(long seed, int size) {
    random = new Random(seed);
    for (int i = 0; i < size; i++) {
      start(i);
    }
  }

  static NodeId id(int number) {
    return NodeId.of("n" + number);
  }

  void start(int number) {
    FailureDomain domain = DOMAINS.get(number % DOMAINS.size());
    String host = "127.0.0." + (number + 1);
    Member member = new Member(id(number), host, 1, 2, domain, ++incarnations, false);
    nodes.put(member.id(), new WalkNode(this, member));
  }

  void step() {
    now += STEP_NANOS;
    while (!events.isEmpty() && events.peek().due <= now) {
      Event event = events.poll();
      WalkNode live = nodes.get(event.node);
      boolean isAddressed = live != null && (event.process == null || event.process == live);
      if (isAddressed && live.paused) {
        events.add(new Event(now + STEP_NANOS, order++, event.node, event.process, event.task));
      } else if (isAddressed) {
        event.task.run();
      }
    }
    for (WalkTicket ticket : List.copyOf(runningTickets)) {
      if (ticket.endNanos <= now) {
        stop(ticket);
        at(now, ticket.entry, () -> ticket.entry.complete(ticket));
      }
    }
    nodes.values().stream().filter(node -> !node.paused).forEach(WalkNode::tick);
    recordDisconnected();
  }

  private void recordDisconnected() {
    for (NodeId one : nodes.keySet()) {
      for (NodeId other : nodes.keySet()) {
        if (one.compareTo(other) < 0 && !isConnected(one, other)) {
          lastDisconnectedNanos.put(WalkNode.pair(one, other), now);
        }
      }
    }
  }

  private boolean isConnected(NodeId one, NodeId other) {
    return !nodes.get(one).paused
        && !nodes.get(other).paused
        && lossRate == 0
        && !blocked.contains(List.of(one, other))
        && !blocked.contains(List.of(other, one));
  }

  boolean isConnectedFor(NodeId one, NodeId other, long nanos) {
    return now - lastDisconnectedNanos.getOrDefault(WalkNode.pair(one, other), 0L) > nanos;
  }

  void at(long due, WalkNode process, Runnable task) {
    events.add(new Event(due, order++, process.self(), process, task));
  }

  void send(NodeId from, NodeId to, PeerMessage message) {
    if (random.nextDouble() < lossRate) {
      return;
    }
    int copies = random.nextDouble() < repeatRate ? 2 : 1;
    for (int i = 0; i < copies; i++) {
      long due = now + random.nextLong(maxDelayNanos);
      events.add(new Event(due, order++, to, null, () -> deliver(from, to, message)));
    }
  }

  private void deliver(NodeId from, NodeId to, PeerMessage message) {
    if (!blocked.contains(List.of(from, to))) {
      nodes.get(to).receive(from, message);
    }
  }

  WalkTicket submit(WalkNode entry) {
    long lifetime = DEADLINE.toNanos() / 2 + random.nextLong(DEADLINE.toNanos() / 2);
    TicketRequest request =
        new TicketRequest(
            RequestId.of("r" + order++),
            1,
            TeamId.of(1 + random.nextInt(TEAMS)),
            SERVICE,
            0,
            Optional.of(ModelId.of(1 + random.nextInt(2))),
            0,
            10,
            now + lifetime,
            Set.of());
    WalkTicket ticket = new WalkTicket(this, entry, request);
    entry.submit(ticket);
    return ticket;
  }

  /**
   * Starts a request at the upstream, which works on it until its end even if the entry has failed.
   */
  void start(WalkTicket ticket) {
    grants++;
    long work = random.nextLong(Duration.ofSeconds(2).toNanos());
    long end = random.nextInt(8) == 0 ? Long.MAX_VALUE : now + work;
    ticket.endNanos = Math.min(end, ticket.request.deadlineNanos());
    runningTickets.add(ticket);
    CombinedWalkTest.checkMarks(this, ticket);
  }

  void stop(WalkTicket ticket) {
    runningTickets.remove(ticket);
  }

  long inFlight(UpstreamId upstream) {
    return runningTickets.stream().filter(ticket -> ticket.upstream.equals(upstream)).count();
  }

  void kill(NodeId id) {
    WalkNode killed = nodes.remove(id);
    runningTickets.stream()
        .filter(ticket -> ticket.entry == killed)
        .forEach(ticket -> ticket.endNanos = ticket.request.deadlineNanos());
  }

  boolean isCold(UpstreamId upstream) {
    return upstream.number() <= COLD_UPSTREAMS;
  }

  void addToTrace(String what) {
    trace.add(now / Duration.ofMillis(1).toNanos() + " ms " + what);
    if (trace.size() > TRACE_LENGTH) {
      trace.remove();
    }
  }

  String trace() {
    StringBuilder text = new StringBuilder(String.join("\n", trace));
    for (WalkNode node : nodes.values()) {
      text.append('\n').append(node.self()).append(node.paused ? " paused:" : ":");
      for (Upstream upstream : configuration.upstreams()) {
        int counted = node.dispatch.owner().inFlightCounts().count(upstream.id());
        text.append(" u" + upstream.id().number() + " counts " + counted);
        text.append(" of " + node.slots(upstream.id(), now) + ",");
      }
    }
    for (WalkTicket ticket : runningTickets) {
      text.append("\nrunning " + ticket.request.request() + " of " + ticket.entry.self());
      text.append(" at " + ticket.upstream + " until " + ticket.endNanos / 1_000_000 + " ms");
    }
    return text.toString();
  }

  private static Configuration configuration() {
    Service service =
        new Service(SERVICE, "chat", ServiceType.MODEL, CostUnit.TOKENS, List.of(), DEADLINE);
    Configuration.Builder builder = Configuration.builder().revision(1).service(service);
    for (int team = 1; team <= TEAMS; team++) {
      builder.team(new Team(TeamId.of(team), "team-" + team, 1, List.of(), 50, 100));
    }
    builder.upstream(upstream(1, 8, 2)).upstream(upstream(2, 16, 3));
    return builder.upstream(upstream(3, 8, 2)).upstream(upstream(4, 5, 1)).build();
  }

  private static Upstream upstream(int number, int window, int coldLimit) {
    return new Upstream(
        UpstreamId.of(number),
        "u" + number,
        SERVICE,
        DOMAINS.get(number % DOMAINS.size()),
        "127.0.1." + number,
        1,
        Set.of(ModelId.of(1 + number % 2)),
        window,
        coldLimit,
        false);
  }

  private record Event(long due, long order, NodeId node, WalkNode process, Runnable task) {}
}
