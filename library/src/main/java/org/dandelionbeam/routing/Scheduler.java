package org.dandelionbeam.routing;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.dandelionbeam.routing.UpstreamSelector.Placement;

/**
 * Decides which request is sent to which upstream, which one waits and which one is refused.
 *
 * <p>Requests of teams whose usage is not far above the mean go first; within a tier of usage those
 * that can still meet their objective, and among them those of the team with the least recent
 * usage. A request that can't be served in time is refused as soon as that is known. Not
 * thread-safe.
 */
public final class Scheduler {
  /**
   * Share of the first output timeout that a request may wait here; the rest is for its upstream.
   */
  private static final double MAX_WAIT_RATIO = 0.45;

  /** Usage relative to the mean of all teams above which a team comes after the others. */
  private static final double EXCESS_THRESHOLD = 1.3;

  /**
   * Ratio of usage between two tiers. Teams within a tier are treated as equal; a factor of 2 would
   * be unfair.
   */
  private static final double EXCESS_TIER_FACTOR = 1.5;

  /**
   * Typical delay of the first output under load: backlog of the engine and network time both ways.
   */
  private static final Duration TYPICAL_FIRST_OUTPUT_DELAY = Duration.ofMillis(120);

  /** Enough tokens that their prefill time in whole nanoseconds gives the exact rate. */
  private static final long PREFILL_SAMPLE_TOKENS = 1_000;

  private static final Duration MAX_RETRY_AFTER = Duration.ofSeconds(2);

  /** Upstreams lift their limits after some time, so a longer wait would be a guess. */
  private static final Duration MAX_LIMIT_WAIT = Duration.ofSeconds(10);

  private static final double NANOS_PER_SECOND = 1e9;

  /** Typical duration of a request to a plain service, after which a slot is free again. */
  private static final Duration PLAIN_REQUEST_TIME = Duration.ofMillis(80);

  private final FleetState fleet;
  private final UpstreamScope scope;
  private final UpstreamHealth health = UpstreamHealth.create();
  private final UpstreamSelector selector;
  private final Map<ServiceName, List<Ticket>> waiting = new LinkedHashMap<>();
  private final Map<ServiceName, TeamThroughput> throughputs = new HashMap<>();

  private Scheduler(FleetState fleet, UpstreamScope scope) {
    this.fleet = requireNonNull(fleet, "fleet");
    this.scope = requireNonNull(scope, "scope");
    selector = new UpstreamSelector(fleet, scope, health);
  }

  /**
   * Creates a scheduler without requests.
   *
   * @param fleet state of the fleet
   * @param scope upstreams that the scheduler decides on
   * @return the scheduler
   */
  public static Scheduler of(FleetState fleet, UpstreamScope scope) {
    return new Scheduler(fleet, scope);
  }

  /**
   * Returns the recent failures of the upstreams, as reported for all granted requests.
   *
   * @return the record
   */
  public UpstreamHealth health() {
    return health;
  }

  /**
   * Submits a request.
   *
   * @param ticket the request
   * @return the decision; if the request waits, a later {@link #poll} decides on it
   */
  public Decision submit(Ticket ticket) {
    Optional<Blame> blame = blameOf(ticket);
    if (blame.isPresent()) {
      return blame.get().refusalOf(ticket);
    }
    Optional<ServiceSpec> spec = specOf(ticket.service());
    if (spec.isEmpty() || selector.candidates(ticket, fleet.nowNanos()).isEmpty()) {
      return refusal(ticket, Decision.RefusalReason.NO_UPSTREAM);
    }
    List<Ticket> queue = waiting.computeIfAbsent(ticket.service(), key -> new ArrayList<>());
    List<Ticket> ahead = aheadOf(ticket, queue);
    if (ahead.isEmpty()) {
      Optional<Decision.Granted> granted = tryGrant(ticket, spec.get(), new AwaitedWork());
      if (granted.isPresent()) {
        return granted.get();
      }
    }
    long wait =
        Math.max(
            Math.max(
                waitNanos(ahead, ticket.service(), spec.get()),
                teamWaitNanos(ticket, queue, spec.get())),
            limitWaitNanos(ticket));
    if (wait > Math.min(maxWaitNanos(ticket), objectiveWaitNanos(ticket))) {
      return refusal(ticket, Decision.RefusalReason.OVERLOADED);
    }
    queue.add(ticket);
    return new Decision.Waiting(ticket);
  }

  /** Returns the time until the rate limits of the upstreams allow a request. */
  private long limitWaitNanos(Ticket ticket) {
    return selector.timeUntilWithinLimits(ticket, fleet.nowNanos()).toNanos();
  }

  private Optional<Blame> blameOf(Ticket ticket) {
    return fleet.crashBlame().blameOf(ticket.content(), fleet.nowNanos());
  }

  private List<Ticket> aheadOf(Ticket ticket, List<Ticket> queue) {
    Ranked rank = ranked(ticket);
    return queue.stream().filter(other -> ranked(other).compareTo(rank) < 0).toList();
  }

  /**
   * Decides again on the waiting requests.
   *
   * @return grants and refusals; requests without a decision keep waiting
   */
  public List<Decision> poll() {
    List<Decision> decisions = new ArrayList<>();
    for (Map.Entry<ServiceName, List<Ticket>> entry : waiting.entrySet()) {
      if (!entry.getValue().isEmpty()) {
        pollService(entry.getKey(), entry.getValue(), decisions);
      }
    }
    return decisions;
  }

  private void pollService(ServiceName name, List<Ticket> queue, List<Decision> decisions) {
    Optional<ServiceSpec> spec = specOf(name);
    AwaitedWork awaited = new AwaitedWork();
    for (Ticket ticket : byPriority(queue)) {
      Optional<Blame> blame = blameOf(ticket);
      if (blame.isPresent()) {
        queue.remove(ticket);
        decisions.add(blame.get().refusalOf(ticket));
        continue;
      }
      if (spec.isEmpty() || !isServed(ticket)) {
        queue.remove(ticket);
        decisions.add(refusal(ticket, Decision.RefusalReason.NO_UPSTREAM));
        continue;
      }
      Optional<Decision.Granted> granted = tryGrant(ticket, spec.get(), awaited);
      if (granted.isPresent()) {
        queue.remove(ticket);
        decisions.add(granted.get());
      } else if (fleet.nowNanos() - ticket.submittedNanos() > maxWaitNanos(ticket)) {
        queue.remove(ticket);
        decisions.add(refusal(ticket, Decision.RefusalReason.WAITED_TOO_LONG));
      }
    }
  }

  /** Tells whether any upstream is left that the request may go to at some time. */
  private boolean isServed(Ticket ticket) {
    return scope.upstreams(ticket.service()).stream().anyMatch(ticket::isServedBy);
  }

  private List<Ticket> byPriority(List<Ticket> queue) {
    return queue.stream().map(this::ranked).sorted().map(Ranked::ticket).toList();
  }

  private Ranked ranked(Ticket ticket) {
    long nowNanos = fleet.nowNanos();
    return new Ranked(
        ticket,
        excessTier(ticket, nowNanos),
        missesObjective(ticket, nowNanos),
        fleet.usage().usageOf(ticket.team(), nowNanos));
  }

  /** A request with its sort keys, which are computed once for all comparisons. */
  private record Ranked(Ticket ticket, int excessTier, boolean missesObjective, double teamUsage)
      implements Comparable<Ranked> {
    private static final Comparator<Ranked> ORDER =
        Comparator.comparingInt(Ranked::excessTier)
            .thenComparing(Ranked::missesObjective)
            .thenComparingDouble(Ranked::teamUsage)
            .thenComparingLong(ranked -> ranked.ticket.arrivedNanos())
            .thenComparingLong(ranked -> ranked.ticket.number());

    @Override
    public int compareTo(Ranked other) {
      return ORDER.compare(this, other);
    }
  }

  /**
   * Returns the tier of the team's usage, 0 for teams that are not far above the mean. Tiers are
   * served one after another, whether their requests are late or not.
   */
  private int excessTier(Ticket ticket, long nowNanos) {
    double excess = fleet.usage().relativeToMean(ticket.team(), nowNanos) / EXCESS_THRESHOLD;
    return excess <= 1 ? 0 : (int) Math.ceil(Math.log(excess) / Math.log(EXCESS_TIER_FACTOR));
  }

  /**
   * Tells whether the request would miss its objective even if it were sent to an upstream at once.
   */
  private boolean missesObjective(Ticket ticket, long nowNanos) {
    return ticket.objectiveNanos() - firstOutputNanos(ticket) - nowNanos < 0;
  }

  /** Returns the usual time from the grant to the first output. */
  private long firstOutputNanos(Ticket ticket) {
    return ticket.prompt().isModelRequest()
        ? TYPICAL_FIRST_OUTPUT_DELAY.toNanos()
            + fleet.prefillRate(ticket.service()).prefillNanos(ticket.prompt().unsharedTokens())
        : 0;
  }

  /** Grants an upstream, or adds the request to those that wait for one. */
  private Optional<Decision.Granted> tryGrant(
      Ticket ticket, ServiceSpec spec, AwaitedWork awaited) {
    Placement placement = selector.select(ticket, spec, awaited, fleet.nowNanos());
    if (placement instanceof Placement.Now now) {
      recordGrant(now.grant());
      return Optional.of(now.grant());
    }
    if (placement instanceof Placement.Later later) {
      later.upstream().ifPresent(upstream -> awaited.add(upstream, ticket));
    }
    return Optional.empty();
  }

  private void recordGrant(Decision.Granted grant) {
    Ticket ticket = grant.ticket();
    int number = grant.instance().number();
    fleet.loads().add(number, grant.addedLoad());
    fleet.rateLimiter().recordSent(grant.instance().id(), fleet.nowNanos());
    fleet.prefixCaches().recordSent(ticket.prompt(), number, fleet.nowNanos());
    fleet.usage().recordUsage(ticket.team(), ticket.cost(), fleet.nowNanos());
    throughputOf(ticket.service()).recordGrant(ticket.team(), workOf(ticket), fleet.nowNanos());
  }

  /**
   * Removes a waiting request that its caller has given up.
   *
   * @param ticket the request
   */
  public void cancel(Ticket ticket) {
    List<Ticket> queue = waiting.get(ticket.service());
    if (queue != null) {
      queue.remove(ticket);
    }
  }

  /**
   * Records the first output of a request.
   *
   * @param grant the grant
   * @param elapsed time since the request was sent
   */
  public void recordFirstOutput(Decision.Granted grant, Duration elapsed) {
    long prefill = grant.addedLoad().prefillTokens();
    fleet.loads().subtract(grant.instance().number(), new UpstreamLoad(0, prefill, 0));
    if (grant.ticket().prompt().isModelRequest()) {
      fleet
          .prefillRate(grant.ticket().service())
          .recordFirstOutput(grant.aheadTokens() + prefill, elapsed);
    }
  }

  /**
   * Records the end of a request at its upstream.
   *
   * @param grant the grant
   * @param outputSeen whether its first output was recorded
   */
  public void recordEnd(Decision.Granted grant, boolean outputSeen) {
    UpstreamLoad addedLoad = grant.addedLoad();
    long prefill = outputSeen ? 0 : addedLoad.prefillTokens();
    fleet
        .loads()
        .subtract(
            grant.instance().number(),
            new UpstreamLoad(addedLoad.inFlight(), prefill, addedLoad.memoryTokens()));
  }

  /**
   * Returns the number of waiting requests.
   *
   * @return number over all services
   */
  public int waitingCount() {
    return waiting.values().stream().mapToInt(List::size).sum();
  }

  /**
   * Returns the waiting requests by team.
   *
   * @return queues of the teams over all services, the longest first
   */
  public List<TeamQueue> queues() {
    List<Ticket> tickets = waiting.values().stream().flatMap(List::stream).toList();
    return TeamQueue.of(tickets, fleet.usage(), fleet.nowNanos());
  }

  private Decision.Refused refusal(Ticket ticket, Decision.RefusalReason reason) {
    List<Ticket> queue = waiting.getOrDefault(ticket.service(), List.of());
    Duration wait =
        specOf(ticket.service())
            .map(spec -> Duration.ofNanos(waitNanos(queue, ticket.service(), spec)))
            .orElse(Decision.MIN_RETRY_AFTER);
    Duration bounded = longest(Decision.MIN_RETRY_AFTER, shortest(MAX_RETRY_AFTER, wait));
    Duration limitWait = shortest(MAX_LIMIT_WAIT, Duration.ofNanos(limitWaitNanos(ticket)));
    return new Decision.Refused(ticket, reason, longest(bounded, limitWait));
  }

  private static Duration longest(Duration a, Duration b) {
    return a.compareTo(b) > 0 ? a : b;
  }

  private static Duration shortest(Duration a, Duration b) {
    return a.compareTo(b) < 0 ? a : b;
  }

  /** Returns the time until the given waiting requests have been served. */
  private long waitNanos(List<Ticket> queue, ServiceName service, ServiceSpec spec) {
    if (queue.isEmpty()) {
      return 0;
    }
    double work = queue.stream().mapToLong(Scheduler::workOf).sum();
    return (long) (work / capacity(service, spec, work / queue.size()));
  }

  /** Returns the work that the upstreams do together in a nanosecond, for requests of a size. */
  private double capacity(ServiceName service, ServiceSpec spec, double workPerRequest) {
    double sum = 0;
    for (UpstreamInstance upstream : scope.upstreams(service)) {
      RateLimit limit = fleet.rateLimits().limitOf(upstream.number(), fleet.nowNanos());
      double allowed = limit.usedPerSecond() / NANOS_PER_SECOND * workPerRequest;
      sum += Math.min(allowed, capacity(service, spec, upstream.slots()));
    }
    return sum > 0 ? sum : capacity(service, spec, 1);
  }

  /** Returns the work that an upstream without a limit does in a nanosecond. */
  private double capacity(ServiceName service, ServiceSpec spec, int slots) {
    return spec.engine().isPresent()
        ? (double) PREFILL_SAMPLE_TOKENS
            / fleet.prefillRate(service).prefillNanos(PREFILL_SAMPLE_TOKENS)
        : (double) Math.max(1, slots) / PLAIN_REQUEST_TIME.toNanos();
  }

  /**
   * Returns the time until the waiting requests of the same team have been granted, at the rate at
   * which the team's requests were granted lately or could be granted beside those of the others.
   * Requests of other teams that arrive later may go before them.
   */
  private long teamWaitNanos(Ticket ticket, List<Ticket> queue, ServiceSpec spec) {
    long work = 0;
    for (Ticket other : queue) {
      work += other.team().equals(ticket.team()) ? workOf(other) : 0;
    }
    if (work == 0) {
      return 0;
    }
    TeamThroughput throughput = throughputOf(ticket.service());
    double capacity = capacity(ticket.service(), spec, workOf(ticket));
    double fairRate = throughput.fairRate(ticket.team(), capacity, fleet.nowNanos());
    double rate = Math.max(fairRate, throughput.rate(ticket.team(), fleet.nowNanos()));
    return (long) (work / rate);
  }

  private TeamThroughput throughputOf(ServiceName service) {
    return throughputs.computeIfAbsent(service, key -> new TeamThroughput());
  }

  /** Returns the work of a request: the tokens to prefill, or 1 for a plain service. */
  private static long workOf(Ticket ticket) {
    return ticket.prompt().isModelRequest() ? Math.max(1, ticket.prompt().unsharedTokens()) : 1;
  }

  /**
   * Returns how long a request may wait for its upstream so that it can meet its objective. One
   * that has missed it already waits as long as a new one.
   */
  private long objectiveWaitNanos(Ticket ticket) {
    long objective = ticket.objectiveNanos() - ticket.arrivedNanos();
    long left = ticket.objectiveNanos() - firstOutputNanos(ticket) - fleet.nowNanos();
    return left > 0 ? left : objective;
  }

  private static long maxWaitNanos(Ticket ticket) {
    return (long) (MAX_WAIT_RATIO * ticket.firstOutputTimeoutNanos());
  }

  private Optional<ServiceSpec> specOf(ServiceName name) {
    return fleet.table().flatMap(table -> table.service(name));
  }
}
