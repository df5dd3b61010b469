package org.dandelionbeam.routing;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.dandelionbeam.base.FailureDomain;

/**
 * Decides which request goes to which upstream, which waits and which is refused.
 *
 * <p>Requests that can still meet their objective go first, among them those of the team that got
 * the least service lately. A request that can't be served in time is refused as soon as that is
 * known. Not thread-safe.
 */
public final class Scheduler {
  /** Part of a caller's patience that a request may wait here; the rest is for its upstream. */
  private static final double MAX_WAIT_RATIO = 0.45;

  /** Service against the mean of all teams above which a team comes after others. */
  private static final double EXCESS_THRESHOLD = 1.3;

  /** Teams whose service differs by less are equals; twice as much would be unfair. */
  private static final double EXCESS_TIER_FACTOR = 1.5;

  /** What an engine mostly has to read before a request under load, and the way there and back. */
  private static final Duration TYPICAL_FIRST_OUTPUT_DELAY = Duration.ofMillis(120);

  private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(200);
  private static final Duration MAX_RETRY_AFTER = Duration.ofSeconds(2);

  /** Room for a plain service comes about once in the time that one of its requests takes. */
  private static final Duration PLAIN_REQUEST_TIME = Duration.ofMillis(80);

  private final FleetState fleet;
  private final UpstreamSelector placement;
  private final Map<ServiceName, List<Ticket>> waiting = new LinkedHashMap<>();

  private Scheduler(FleetState fleet, FailureDomain here) {
    this.fleet = requireNonNull(fleet, "fleet");
    placement = new UpstreamSelector(fleet, here);
  }

  /**
   * Returns a scheduler without requests.
   *
   * @param fleet what the router believes
   * @param here failure domain that it runs in
   * @return the scheduler
   */
  public static Scheduler of(FleetState fleet, FailureDomain here) {
    return new Scheduler(fleet, here);
  }

  /**
   * Takes a request.
   *
   * @param ticket the request
   * @return what becomes of it; if it waits, a later {@link #poll} decides
   */
  public Decision submit(Ticket ticket) {
    Optional<ServiceSpec> spec = specOf(ticket.service());
    if (spec.isEmpty() || placement.candidates(ticket, fleet.nowNanos()).isEmpty()) {
      return refusal(ticket, Decision.RefusalReason.NO_UPSTREAM);
    }
    List<Ticket> queue = waiting.computeIfAbsent(ticket.service(), key -> new ArrayList<>());
    List<Ticket> ahead = aheadOf(ticket, queue);
    if (ahead.isEmpty()) {
      Optional<Decision.Granted> granted = tryGrant(ticket, spec.get());
      if (granted.isPresent()) {
        return granted.get();
      }
    }
    if (waitNanos(ahead, ticket.service(), spec.get()) > maxWaitNanos(ticket)) {
      return refusal(ticket, Decision.RefusalReason.OVERLOADED);
    }
    queue.add(ticket);
    return new Decision.Waiting(ticket);
  }

  private List<Ticket> aheadOf(Ticket ticket, List<Ticket> queue) {
    Ranked rank = ranked(ticket);
    return queue.stream().filter(other -> ranked(other).compareTo(rank) < 0).toList();
  }

  /**
   * Decides again on the requests that wait.
   *
   * @return grants and refusals
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
    boolean served = spec.isPresent() && !fleet.upstreams().usable(name).isEmpty();
    for (Ticket ticket : byPriority(queue)) {
      if (!served) {
        queue.remove(ticket);
        decisions.add(refusal(ticket, Decision.RefusalReason.NO_UPSTREAM));
        continue;
      }
      Optional<Decision.Granted> granted = tryGrant(ticket, spec.get());
      if (granted.isPresent()) {
        queue.remove(ticket);
        decisions.add(granted.get());
      } else if (fleet.nowNanos() - ticket.submittedNanos() > maxWaitNanos(ticket)) {
        queue.remove(ticket);
        decisions.add(refusal(ticket, Decision.RefusalReason.WAITED_TOO_LONG));
      }
    }
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

  /** A request with what decides on its place, which is worked out once for all comparisons. */
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

  /** Teams that differ much in what they got lately come one after another, late or not. */
  private int excessTier(Ticket ticket, long nowNanos) {
    double excess = fleet.usage().relativeToMean(ticket.team(), nowNanos) / EXCESS_THRESHOLD;
    return excess <= 1 ? 0 : (int) Math.ceil(Math.log(excess) / Math.log(EXCESS_TIER_FACTOR));
  }

  /** Tells whether the request would miss its objective even if an engine took it at once. */
  private boolean missesObjective(Ticket ticket, long nowNanos) {
    long firstOutputNanos =
        ticket.prompt().isModelRequest()
            ? TYPICAL_FIRST_OUTPUT_DELAY.toNanos()
                + fleet.prefillRate(ticket.service()).prefillNanos(ticket.prompt().unsharedTokens())
            : 0;
    return ticket.objectiveNanos() - firstOutputNanos - nowNanos < 0;
  }

  private Optional<Decision.Granted> tryGrant(Ticket ticket, ServiceSpec spec) {
    Optional<Decision.Granted> grant = placement.select(ticket, spec, fleet.nowNanos());
    grant.ifPresent(this::recordGrant);
    return grant;
  }

  private void recordGrant(Decision.Granted grant) {
    Ticket ticket = grant.ticket();
    int number = LoadTracker.numberOf(grant.instance());
    fleet.loads().add(number, grant.work());
    fleet.coldRateLimiter().recordSent(grant.instance().id(), fleet.nowNanos());
    fleet.prefixCaches().recordSent(ticket.prompt(), number, fleet.nowNanos());
    long cost = ticket.prompt().isModelRequest() ? ticket.prompt().costTokens() : 1;
    fleet.usage().recordUsage(ticket.team(), cost, fleet.nowNanos());
  }

  /**
   * Takes a request back that its caller gave up.
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
   * Notes the first output of a request.
   *
   * @param grant the grant
   * @param elapsed time since the request was sent
   */
  public void recordFirstOutput(Decision.Granted grant, Duration elapsed) {
    long prefill = grant.work().prefillTokens();
    fleet.loads().subtract(LoadTracker.numberOf(grant.instance()), new UpstreamLoad(0, prefill, 0));
    if (prefill > 0) {
      fleet
          .prefillRate(grant.ticket().service())
          .recordFirstOutput(grant.aheadTokens() + prefill, elapsed);
    }
  }

  /**
   * Notes the end of a request at its upstream.
   *
   * @param grant the grant
   * @param outputSeen whether its first output was noted
   */
  public void recordEnd(Decision.Granted grant, boolean outputSeen) {
    UpstreamLoad work = grant.work();
    long prefill = outputSeen ? 0 : work.prefillTokens();
    fleet
        .loads()
        .subtract(
            LoadTracker.numberOf(grant.instance()),
            new UpstreamLoad(work.inFlight(), prefill, work.memoryTokens()));
  }

  /**
   * Counts the requests that wait.
   *
   * @return the count over all services
   */
  public int waitingCount() {
    return waiting.values().stream().mapToInt(List::size).sum();
  }

  private Decision.Refused refusal(Ticket ticket, Decision.RefusalReason reason) {
    List<Ticket> queue = waiting.getOrDefault(ticket.service(), List.of());
    Duration wait =
        specOf(ticket.service())
            .map(spec -> Duration.ofNanos(waitNanos(queue, ticket.service(), spec)))
            .orElse(MIN_RETRY_AFTER);
    Duration atLeast = wait.compareTo(MIN_RETRY_AFTER) < 0 ? MIN_RETRY_AFTER : wait;
    Duration bounded = atLeast.compareTo(MAX_RETRY_AFTER) > 0 ? MAX_RETRY_AFTER : atLeast;
    return new Decision.Refused(ticket, reason, bounded);
  }

  /** Time until some requests that wait here have been served, with even shares of the routers. */
  private long waitNanos(List<Ticket> queue, ServiceName service, ServiceSpec spec) {
    int routers = fleet.limitSharers();
    if (spec.engine().isEmpty()) {
      double slots = Math.max(1, slotsOf(service)) / (double) routers;
      return (long) (queue.size() * PLAIN_REQUEST_TIME.toNanos() / slots);
    }
    double engines = Math.max(1, fleet.upstreams().usable(service).size()) / (double) routers;
    long tokens = queue.stream().mapToLong(ticket -> ticket.prompt().unsharedTokens()).sum();
    return (long) (fleet.prefillRate(service).prefillNanos(tokens) / engines);
  }

  private int slotsOf(ServiceName service) {
    return fleet.upstreams().usable(service).stream().mapToInt(UpstreamInstance::slots).sum();
  }

  private static long maxWaitNanos(Ticket ticket) {
    return (long) (MAX_WAIT_RATIO * ticket.firstOutputTimeoutNanos());
  }

  private Optional<ServiceSpec> specOf(ServiceName name) {
    return fleet.table().flatMap(table -> table.service(name));
  }
}
