package org.dandelionbeam.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
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
import org.dandelionbeam.membership.Ownership;
import org.dandelionbeam.membership.Slots;
import org.dandelionbeam.membership.WindowState;

/**
 * Dispatch nodes on a simulated network. The test advances the time, delivers the messages and sets
 * the owners.
 */
final class TestFleet {
  static final ServiceId SERVICE = ServiceId.of(1);
  static final long NANOS_PER_MILLI = Duration.ofMillis(1).toNanos();
  private static final int MAX_QUEUED_PER_TEAM = 50;

  final Map<NodeId, DispatchNode> nodes = new LinkedHashMap<>();
  final Map<UpstreamId, NodeId> owners = new HashMap<>();
  final Map<UpstreamId, FakeWindow> windows = new HashMap<>();
  final Set<UpstreamId> leaving = new HashSet<>();
  final Set<NodeId> dead = new HashSet<>();
  final List<Packet> network = new ArrayList<>();
  final Random random;
  Slots slots = new Slots(100, 100);
  double share = 1;
  boolean inheritedCold;
  long now = Duration.ofHours(1).toNanos();
  private final Map<NodeId, Map<TeamId, Double>> charged = new HashMap<>();
  private final Map<NodeId, Map<TeamId, Double>> reported = new HashMap<>();
  private final Configuration configuration;

  TestFleet(long seed, int nodeCount, int upstreamCount, int window) {
    random = new Random(seed);
    configuration = configuration(upstreamCount, window);
    for (int i = 0; i < upstreamCount; i++) {
      owners.put(UpstreamId.of(i + 1), node(i % nodeCount));
    }
    for (int i = 0; i < nodeCount; i++) {
      start(node(i));
    }
    ownershipChanged();
  }

  static NodeId node(int index) {
    return NodeId.of("node-" + index);
  }

  void start(NodeId id) {
    OwnerPorts ports =
        new OwnerPorts(
            new FakeOwnership(id),
            this::window,
            new HintEstimates(),
            (service, team) -> usageAtOthers(id, team),
            Affinity.none(),
            new UsageCounters(id));
    nodes.put(id, DispatchNode.of(configuration, ports, (request, step, detail) -> {}, random));
  }

  void ownershipChanged() {
    nodes.forEach((id, node) -> node.ownershipChanged(now));
  }

  Answer submit(int node, int team) {
    return submit(node, team, Set.of(), 60_000);
  }

  Answer submit(int node, int team, Set<UpstreamId> avoid, long deadlineMillis) {
    Answer answer = new Answer(RequestId.of("r-" + random.nextLong()));
    TicketRequest ticket =
        new TicketRequest(
            answer.request,
            1,
            TeamId.of(team),
            SERVICE,
            0,
            Optional.of(ModelId.of(1)),
            0,
            10,
            now + deadlineMillis * NANOS_PER_MILLI,
            avoid);
    nodes.get(node(node)).submit(ticket, answer, now);
    collect();
    return answer;
  }

  void complete(int node, Answer answer, double cost) {
    DispatchPort.Completion completion =
        new DispatchPort.Completion(
            answer.request,
            1,
            answer.grant.upstream(),
            DispatchPort.Outcome.ANSWERED,
            cost,
            NANOS_PER_MILLI,
            10 * NANOS_PER_MILLI);
    nodes.get(node(node)).complete(completion, now);
    collect();
  }

  void cancel(int node, Answer answer) {
    nodes.get(node(node)).cancel(answer.request, 1, now);
    collect();
  }

  /** Reports the usage at each node to all others. */
  void reportUsage() {
    charged.forEach((node, byTeam) -> reported.put(node, new HashMap<>(byTeam)));
  }

  private double usageAtOthers(NodeId self, TeamId team) {
    return reported.entrySet().stream()
        .filter(entry -> !entry.getKey().equals(self))
        .mapToDouble(entry -> entry.getValue().getOrDefault(team, 0.0))
        .sum();
  }

  /** Puts the pending messages of all nodes on the network. */
  void collect() {
    nodes.forEach((id, node) -> node.flush((to, batch) -> network.add(new Packet(id, to, batch))));
  }

  void deliver(Packet packet) {
    DispatchNode node = nodes.get(packet.to);
    if (node != null && !dead.contains(packet.to) && !dead.contains(packet.from)) {
      node.received(packet.from, packet.batch, now);
    }
    collect();
  }

  void deliverAll() {
    while (!network.isEmpty()) {
      deliver(network.remove(0));
    }
  }

  /** Advances the time in ticks of 20 ms and delivers all messages after each tick. */
  void run(long millis) {
    long end = now + millis * NANOS_PER_MILLI;
    while (now < end) {
      now += 20 * NANOS_PER_MILLI;
      nodes.forEach(
          (id, node) -> {
            if (!dead.contains(id)) {
              node.tick(now);
            }
          });
      collect();
      deliverAll();
    }
  }

  int inFlight(int upstream) {
    UpstreamId id = UpstreamId.of(upstream);
    return nodes.get(owners.get(id)).owner().inFlight(id);
  }

  int waitingAtOwners() {
    return nodes.values().stream().mapToInt(node -> node.owner().waiting(SERVICE)).sum();
  }

  private Window window(Upstream upstream, Optional<WindowState> inherited) {
    FakeWindow window = new FakeWindow(upstream.window(), upstream.coldLimit());
    window.cold = inherited.map(WindowState::cold).orElse(inheritedCold);
    windows.put(upstream.id(), window);
    return window;
  }

  private static Configuration configuration(int upstreamCount, int window) {
    Service service = new Service(SERVICE, "chat", ServiceType.MODEL, CostUnit.TOKENS, List.of());
    Configuration.Builder builder = Configuration.builder().service(service);
    for (int team = 1; team <= 20; team++) {
      TeamId id = TeamId.of(team);
      builder.team(new Team(id, "team-" + team, 1, List.of(), MAX_QUEUED_PER_TEAM, 100));
    }
    for (int i = 1; i <= upstreamCount; i++) {
      builder.upstream(
          new Upstream(
              UpstreamId.of(i),
              "engine-" + i,
              SERVICE,
              FailureDomain.of("a"),
              "127.0.0.1",
              1,
              Set.of(ModelId.of(1)),
              window,
              1,
              false));
    }
    return builder.build();
  }

  record Packet(NodeId from, NodeId to, DispatchBatch batch) {}

  /** Stores the answer to a ticket and fails on a second one. */
  static final class Answer implements DispatchPort.Listener {
    final RequestId request;
    DispatchPort.Grant grant;
    DispatchPort.Refusal refusal;

    Answer(RequestId request) {
      this.request = request;
    }

    boolean isAnswered() {
      return grant != null || refusal != null;
    }

    @Override
    public void granted(DispatchPort.Grant value) {
      failIfAnswered();
      grant = value;
    }

    @Override
    public void refused(DispatchPort.Refusal value) {
      failIfAnswered();
      refusal = value;
    }

    private void failIfAnswered() {
      if (isAnswered()) {
        throw new AssertionError("second answer for " + request);
      }
    }
  }

  /** Window with fixed limits that a test can set cold. */
  static final class FakeWindow implements Window {
    final int warm;
    final int coldLimit;
    boolean cold;
    int inFlight;
    int peak;

    FakeWindow(int warm, int coldLimit) {
      this.warm = warm;
      this.coldLimit = coldLimit;
    }

    @Override
    public int limit() {
      return cold ? coldLimit : warm;
    }

    @Override
    public boolean isCold() {
      return cold;
    }

    @Override
    public void started(long nowNanos) {
      inFlight++;
      peak = Math.max(peak, inFlight);
    }

    @Override
    public void ended(
        DispatchPort.Outcome outcome, double cost, long firstByte, long elapsed, long nowNanos) {
      inFlight--;
    }

    @Override
    public WindowState state() {
      return new WindowState(cold, limit());
    }
  }

  private static final class HintEstimates implements CostEstimates {
    @Override
    public double estimate(
        TeamId team, ServiceId service, int kind, Optional<ModelId> model, double hint) {
      return hint;
    }

    @Override
    public void observed(QueuedTicket ticket, double cost) {
      // The estimate is always the hint.
    }
  }

  /** Sums the usage of each team at one owner. */
  private final class UsageCounters implements UsageListener {
    private final NodeId owner;

    UsageCounters(NodeId owner) {
      this.owner = owner;
    }

    @Override
    public void waited(ServiceId service, TeamId team, long waitNanos) {
      // Waiting times are not tested here.
    }

    @Override
    public void queued(ServiceId service, TeamId team) {
      // reportUsage reports all teams.
    }

    @Override
    public void charged(ServiceId service, TeamId team, double cost) {
      charged.computeIfAbsent(owner, key -> new HashMap<>()).merge(team, cost, Double::sum);
    }

    @Override
    public void ended(ServiceId service, TeamId team, double cost) {
      // The charges already include this cost.
    }
  }

  private final class FakeOwnership implements Ownership {
    private final NodeId self;

    FakeOwnership(NodeId self) {
      this.self = self;
    }

    @Override
    public NodeId self() {
      return self;
    }

    @Override
    public long epoch() {
      return 1;
    }

    @Override
    public List<NodeId> aliveMembers() {
      return nodes.keySet().stream().filter(node -> !dead.contains(node)).toList();
    }

    @Override
    public Optional<NodeId> ownerOf(UpstreamId upstream) {
      return Optional.ofNullable(owners.get(upstream));
    }

    @Override
    public Slots slots(UpstreamId upstream, long nowNanos) {
      return slots;
    }

    @Override
    public boolean acceptsNewWork(UpstreamId upstream) {
      return !leaving.contains(upstream);
    }

    @Override
    public double admittedShare(UpstreamId upstream, long nowNanos) {
      return share;
    }

    @Override
    public NodeId homeOf(TeamId team) {
      return self;
    }

    @Override
    public void publishWindow(UpstreamId upstream, WindowState state) {
      // A new owner starts from inheritedCold instead of a published state.
    }

    @Override
    public Optional<WindowState> inheritedWindow(UpstreamId upstream) {
      return Optional.empty();
    }
  }
}
