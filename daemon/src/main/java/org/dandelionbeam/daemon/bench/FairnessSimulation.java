package org.dandelionbeam.daemon.bench;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
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
import org.dandelionbeam.dispatch.Affinity;
import org.dandelionbeam.dispatch.DispatchBatch;
import org.dandelionbeam.dispatch.DispatchNode;
import org.dandelionbeam.dispatch.DispatchPort;
import org.dandelionbeam.dispatch.OwnerPorts;
import org.dandelionbeam.dispatch.TicketRequest;
import org.dandelionbeam.upstream.CostEstimator;

/** Simulation of routers in front of engines in simulated time, reproducible from a seed. */
final class FairnessSimulation {
  static final int ROUTERS = 8;
  static final int ENGINES = 12;
  private static final int SLOTS_PER_ENGINE = 8;
  private static final double UNITS_PER_SLOT_SECOND = 100;
  private static final double MIN_COST = 20;
  private static final double MEAN_COST = 200;
  private static final double MAX_COST = 1_000;
  private static final double CAPACITY_UNITS_PER_SECOND =
      ENGINES * SLOTS_PER_ENGINE * UNITS_PER_SLOT_SECOND;
  private static final double NANOS_PER_SECOND = 1e9;
  private static final double REPORT_INTERVAL_SECONDS = 2;
  private static final long HOMES_LOST_FROM_NANOS = Duration.ofSeconds(100).toNanos();
  private static final long HOMES_LOST_TO_NANOS = Duration.ofSeconds(110).toNanos();
  private static final long TICK_INTERVAL_NANOS = Duration.ofMillis(20).toNanos();
  private static final long NETWORK_DELAY_NANOS = Duration.ofMillis(1).toNanos();
  private static final long DEADLINE_NANOS = Duration.ofMinutes(10).toNanos();
  private static final int QUEUE_LIMIT = 40;
  private static final ServiceId SERVICE = ServiceId.of(1);
  private static final Optional<ModelId> MODEL = Optional.of(ModelId.of(1));

  private final Scenario scenario;
  private final Topology topology;
  private final long endNanos;
  private final Random random;
  private final Random faultRandom;
  private final int teams;
  private final double meanCost;
  private final List<DispatchNode> nodes = new ArrayList<>();
  private final ReportedUsage reports;
  private final UsageGapMeter gaps;
  private final InFlightMeter inFlight;
  private final FairWaitMeter smallestTeamWait;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::sequence));
  private long sequence;
  private long now;
  private long waiting;
  private long running;
  private long arrived;
  private long batches;
  private long messages;
  private double idleNanos;

  FairnessSimulation(Scenario scenario, Topology topology, long seed, Duration length) {
    this.scenario = scenario;
    this.topology = topology;
    endNanos = length.toNanos();
    random = new Random(seed);
    faultRandom = new Random(~seed);
    teams = scenario.demand().length;
    meanCost = meanOfClampedCost();
    reports = new ReportedUsage(ROUTERS, teams);
    gaps = new UsageGapMeter(teams);
    inFlight = new InFlightMeter(ENGINES, teams);
    smallestTeamWait = new FairWaitMeter(CAPACITY_UNITS_PER_SECOND / teams);
  }

  /** Runs to the end and returns the figures. */
  RunResult run() {
    Configuration configuration = configuration();
    for (int router = 0; router < ROUTERS; router++) {
      nodes.add(node(configuration, router));
    }
    nodes.forEach(node -> node.ownershipChanged(0));
    for (int team = 0; team < teams; team++) {
      scheduleArrival(team);
    }
    schedule(0, this::tick);
    schedule(0, this::report);
    while (!events.isEmpty() && events.peek().atNanos <= endNanos) {
      Event event = events.poll();
      advanceTo(event.atNanos);
      event.action.run();
    }
    return result();
  }

  private RunResult result() {
    double seconds = endNanos / NANOS_PER_SECOND;
    double slotNanos = (double) ENGINES * SLOTS_PER_ENGINE * endNanos;
    double bound = inFlight.sumOfMaxima() + REPORT_INTERVAL_SECONDS * CAPACITY_UNITS_PER_SECOND;
    return new RunResult(
        gaps.totalUsage() / seconds / CAPACITY_UNITS_PER_SECOND,
        idleNanos / slotNanos,
        gaps.maxGap(),
        bound,
        smallestTeamWait.longestSeconds(),
        smallestTeamWait.ratio(),
        (double) batches / arrived,
        (double) messages / arrived);
  }

  private void advanceTo(long atNanos) {
    long idle = (long) ENGINES * SLOTS_PER_ENGINE - running;
    idleNanos += (double) Math.min(idle, waiting) * (atNanos - now);
    now = atNanos;
  }

  private void scheduleArrival(int team) {
    double share = CAPACITY_UNITS_PER_SECOND / teams * scenario.demand()[team];
    double seconds = -Math.log(1 - random.nextDouble()) * meanCost / share;
    schedule(now + (long) (seconds * NANOS_PER_SECOND), () -> arrive(team));
  }

  private void arrive(int team) {
    boolean first = random.nextDouble() < scenario.skew();
    int router = topology.entry(first ? (team / 4) % ROUTERS : random.nextInt(ROUTERS));
    double cost = randomCost();
    double hint =
        random.nextBoolean() ? cost * scenario.hintFactor() : cost / scenario.hintFactor();
    RequestId request = RequestId.of("request-" + sequence);
    TicketRequest ticket =
        new TicketRequest(
            request,
            1,
            TeamId.of(team + 1),
            SERVICE,
            0,
            MODEL,
            0,
            hint,
            now + DEADLINE_NANOS,
            Set.of());
    waiting++;
    arrived++;
    gaps.arrived(team);
    if (team == teams - 1) {
      smallestTeamWait.arrived(cost, now);
    }
    nodes.get(router).submit(ticket, new Attempt(router, team, cost, now), now);
    flush(router);
    scheduleArrival(team);
  }

  private void tick() {
    for (int router = 0; router < ROUTERS; router++) {
      nodes.get(router).tick(now);
      flush(router);
    }
    schedule(now + TICK_INTERVAL_NANOS, this::tick);
  }

  private void report() {
    boolean homesAreLost =
        scenario.homesLost() && now >= HOMES_LOST_FROM_NANOS && now < HOMES_LOST_TO_NANOS;
    if (homesAreLost) {
      reports.loseHomes();
    } else {
      reports.report(scenario.reportLoss(), faultRandom);
    }
    schedule(now + (long) (REPORT_INTERVAL_SECONDS * NANOS_PER_SECOND), this::report);
  }

  private void flush(int router) {
    NodeId from = BenchOwnership.node(router);
    nodes
        .get(router)
        .flush(
            (to, batch) -> {
              batches++;
              batch.forEach(message -> messages++);
              int receiver = Integer.parseInt(to.name().substring("router-".length()));
              schedule(now + NETWORK_DELAY_NANOS, () -> receive(receiver, from, batch));
            });
  }

  private void receive(int router, NodeId from, DispatchBatch batch) {
    nodes.get(router).received(from, batch, now);
    flush(router);
  }

  private void finish(int router, DispatchPort.Grant grant, int team, double cost, long elapsed) {
    running--;
    inFlight.ended(grant.upstream().number() - 1, team, cost);
    gaps.finished(team, cost);
    DispatchPort.Completion completion =
        new DispatchPort.Completion(
            grant.request(),
            grant.attempt(),
            grant.upstream(),
            DispatchPort.Outcome.ANSWERED,
            cost,
            elapsed,
            elapsed);
    nodes.get(router).complete(completion, now);
    flush(router);
  }

  private double randomCost() {
    double value = -Math.log(1 - random.nextDouble()) * MEAN_COST;
    return Math.max(MIN_COST, Math.min(MAX_COST, value));
  }

  private static double meanOfClampedCost() {
    double low = MIN_COST + MEAN_COST * Math.exp(-MIN_COST / MEAN_COST);
    return low - MEAN_COST * Math.exp(-MAX_COST / MEAN_COST);
  }

  private void schedule(long atNanos, Runnable action) {
    events.add(new Event(atNanos, sequence++, action));
  }

  private DispatchNode node(Configuration configuration, int router) {
    OwnerPorts ports =
        new OwnerPorts(
            new BenchOwnership(topology, router, ROUTERS, SLOTS_PER_ENGINE),
            (upstream, inherited) -> new FixedWindow(SLOTS_PER_ENGINE),
            new LearnedEstimates(CostEstimator.of()),
            (service, team) -> topology == Topology.FLEET ? reports.usageAtOthers(router, team) : 0,
            Affinity.none(),
            reports.listenerOf(router));
    return DispatchNode.of(
        configuration, ports, (request, step, detail) -> {}, new Random(random.nextLong()));
  }

  private Configuration configuration() {
    Configuration.Builder builder =
        Configuration.builder()
            .service(new Service(SERVICE, "chat", ServiceType.MODEL, CostUnit.TOKENS, List.of()));
    for (int team = 1; team <= teams; team++) {
      String name = "team-" + team;
      builder.team(new Team(TeamId.of(team), name, 1, List.of(), QUEUE_LIMIT, QUEUE_LIMIT));
    }
    for (int engine = 1; engine <= ENGINES; engine++) {
      builder.upstream(
          new Upstream(
              UpstreamId.of(engine),
              "engine-" + engine,
              SERVICE,
              FailureDomain.of("a"),
              "127.0.0.1",
              1,
              Set.of(MODEL.orElseThrow()),
              SLOTS_PER_ENGINE,
              1,
              false));
    }
    return builder.build();
  }

  private record Event(long atNanos, long sequence, Runnable action) {}

  /** Request from its submission until it has run at an engine or is refused. */
  private final class Attempt implements DispatchPort.Listener {
    private final int router;
    private final int team;
    private final double cost;
    private final long submittedNanos;

    Attempt(int router, int team, double cost, long submittedNanos) {
      this.router = router;
      this.team = team;
      this.cost = cost;
      this.submittedNanos = submittedNanos;
    }

    @Override
    public void granted(DispatchPort.Grant grant) {
      waiting--;
      running++;
      gaps.stoppedWaiting(team);
      inFlight.started(grant.upstream().number() - 1, team, cost);
      if (team == teams - 1) {
        smallestTeamWait.waited(now - submittedNanos);
      }
      long elapsed = (long) (cost / UNITS_PER_SLOT_SECOND * NANOS_PER_SECOND);
      schedule(now + elapsed, () -> finish(router, grant, team, cost, elapsed));
    }

    @Override
    public void refused(DispatchPort.Refusal refusal) {
      waiting--;
      gaps.stoppedWaiting(team);
    }
  }
}
