package org.dandelionbeam.routing;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.dandelionbeam.base.FailureDomain;

/**
 * Chooses the upstream of a request.
 *
 * <p>Of a model's engines it takes the one with the fewest tokens to read before the first output,
 * counting parts of the prompt that must be read again; of a plain service's upstreams the one with
 * the fewest requests. Not thread-safe.
 */
final class UpstreamSelector {
  /**
   * Reading a shared part again takes an engine's time from all requests and fills its memory
   * twice, so a request rather waits for the engine that holds the part.
   */
  private static final double REPEATED_PREFILL_FACTOR = 15;

  /** Makes all routers choose the same next engine when the preferred one has no room. */
  private static final long RANK_TOKENS = 300;

  /** Makes an eighth more work than others got lately outweigh a few ranks. */
  private static final double RECENT_PREFILL_WEIGHT = 0.1;

  /** Tokens that the bytes of a request between failure domains are worth. */
  private static final long OTHER_DOMAIN_TOKENS = 200;

  /** Tokens by which an engine that fails all its requests is put behind. */
  private static final long ERROR_TOKENS = 40_000;

  /** Requests by which an upstream that fails all its requests is put behind. */
  private static final double ERROR_REQUESTS = 8;

  /** Requests in flight that the way through another failure domain is worth. */
  private static final double OTHER_DOMAIN_REQUESTS = 0.3;

  /** Part of an engine's memory that running requests may fill beside cached parts. */
  private static final double MEMORY_SHARE = 0.55;

  /**
   * Longest backlog of an engine. It keeps the engine busy between the reports of the routers; more
   * would only move the wait to where requests can't be ordered any more.
   */
  private static final long MAX_BACKLOG_NANOS = Duration.ofMillis(180).toNanos();

  /**
   * Backlog up to which an engine takes a prompt whose shared parts another one holds. Beyond it,
   * reading them again would take the time of requests whose parts it holds.
   */
  private static final long NEARLY_IDLE_NANOS = Duration.ofMillis(30).toNanos();

  /** Part of the longest backlog that a team may use however much it got; engines stay busy. */
  private static final double MIN_BACKLOG_SHARE = 0.25;

  /** Part of the objective that the wait for the first output may take; the rest is for the way. */
  private static final double OBJECTIVE_SHARE = 0.7;

  /** The same at an engine that holds the shared parts: being late is less bad than rereading. */
  private static final double CACHED_OBJECTIVE_SHARE = 0.9;

  /** Service against the team that got most, below which a large team is owed service. */
  private static final double UNDERSERVED_RATIO = 0.6;

  private final FleetState fleet;
  private final FailureDomain ownDomain;

  UpstreamSelector(FleetState fleet, FailureDomain here) {
    this.fleet = requireNonNull(fleet, "fleet");
    this.ownDomain = requireNonNull(here, "here");
  }

  /**
   * Returns the upstreams that may get the request: those that are not avoided, or all that did not
   * have the request yet if every one is avoided.
   */
  List<UpstreamInstance> candidates(Ticket ticket, long nowNanos) {
    return candidates(ticket, fleet.upstreams().usable(ticket.service()), nowNanos);
  }

  private List<UpstreamInstance> candidates(
      Ticket ticket, List<UpstreamInstance> usable, long nowNanos) {
    List<UpstreamInstance> notExcluded = new ArrayList<>();
    List<UpstreamInstance> healthy = new ArrayList<>();
    for (UpstreamInstance instance : usable) {
      if (!ticket.isExcluded(instance.id())) {
        notExcluded.add(instance);
        if (!fleet.health().isAvoided(instance.id(), nowNanos)) {
          healthy.add(instance);
        }
      }
    }
    return healthy.isEmpty() ? notExcluded : healthy;
  }

  /**
   * Returns the upstream that should get the request now, empty if the request should wait.
   *
   * <p>A request waits for the best upstream while it can be answered there in time. It goes to
   * another one only if that one answers it in time.
   */
  Optional<Decision.Granted> select(Ticket ticket, ServiceSpec spec, long nowNanos) {
    List<UpstreamInstance> usable = fleet.upstreams().usable(ticket.service());
    List<UpstreamInstance> candidates = candidates(ticket, usable, nowNanos);
    PrefixLocation prefix = locatePrefix(ticket, spec, usable, candidates);
    Candidate best = null;
    Candidate bestWithCapacity = null;
    for (UpstreamInstance instance : candidates) {
      Candidate candidate = evaluate(ticket, spec, instance, prefix, nowNanos);
      best = cheaper(best, candidate);
      bestWithCapacity =
          candidate.hasCapacity ? cheaper(bestWithCapacity, candidate) : bestWithCapacity;
    }
    if (bestWithCapacity == null || best == bestWithCapacity) {
      return Optional.ofNullable(bestWithCapacity).map(candidate -> candidate.toGrant(ticket));
    }
    boolean shouldWait = best.meetsObjective || !bestWithCapacity.meetsObjective;
    return shouldWait ? Optional.empty() : Optional.of(bestWithCapacity.toGrant(ticket));
  }

  private static Candidate cheaper(Candidate current, Candidate other) {
    return current == null || other.cost < current.cost ? other : current;
  }

  private PrefixLocation locatePrefix(
      Ticket ticket,
      ServiceSpec spec,
      List<UpstreamInstance> usable,
      List<UpstreamInstance> candidates) {
    PromptProfile shape = ticket.prompt();
    if (spec.engine().isEmpty() || !shape.isModelRequest()) {
      return PrefixLocation.NONE;
    }
    Map<Integer, Long> cachedByEngine = new HashMap<>();
    long mostCached = 0;
    for (UpstreamInstance instance : candidates) {
      int number = LoadTracker.numberOf(instance);
      long cached = fleet.prefixCaches().cachedTokens(shape, number);
      cachedByEngine.put(number, cached);
      mostCached = Math.max(mostCached, cached);
    }
    List<Integer> numbers = usable.stream().map(LoadTracker::numberOf).toList();
    long shared = shape.sharedTokens();
    return new PrefixLocation(
        PrefixCacheModel.ranks(shape, numbers),
        cachedByEngine,
        Math.min(mostCached, shared),
        mostCached < shared);
  }

  /**
   * Where a prompt should be read.
   *
   * @param ranks order in which all routers prefer the engines
   * @param cachedByEngine tokens of its leading parts that the engines hold
   * @param mostSharedCached tokens of shared parts that the engine with most of them holds
   * @param isUncached whether no engine holds all shared parts, so that one must read them
   */
  private record PrefixLocation(
      Map<Integer, Integer> ranks,
      Map<Integer, Long> cachedByEngine,
      long mostSharedCached,
      boolean isUncached) {
    private static final PrefixLocation NONE = new PrefixLocation(Map.of(), Map.of(), 0, false);

    long cachedBy(int engine) {
      return cachedByEngine.getOrDefault(engine, 0L);
    }

    /** Tokens to read again because the request doesn't go to the engine that holds them. */
    long repeatedPrefillTokens(long cached) {
      return isUncached ? 0 : Math.max(0, mostSharedCached - cached);
    }

    int rankOf(int engine) {
      return ranks.getOrDefault(engine, 1);
    }
  }

  private Candidate evaluate(
      Ticket ticket,
      ServiceSpec spec,
      UpstreamInstance instance,
      PrefixLocation prefix,
      long nowNanos) {
    boolean cold = fleet.upstreams().isCold(instance.id(), nowNanos);
    boolean withinColdRate =
        !cold
            || spec.coldRequestsPerSecond() <= 0
            || fleet
                .coldRateLimiter()
                .allows(
                    instance.id(), spec.coldRequestsPerSecond(), fleet.limitSharers(), nowNanos);
    int number = LoadTracker.numberOf(instance);
    UpstreamLoad load = fleet.loads().total(number, nowNanos);
    Candidate candidate =
        spec.engine().isPresent() && ticket.prompt().isModelRequest()
            ? engineCandidate(ticket, spec.engine().get(), instance, number, load, prefix)
            : plainCandidate(instance, load);
    candidate.hasCapacity &= withinColdRate;
    candidate.meetsObjective &= withinColdRate;
    if (!instance.domain().equals(ownDomain)) {
      candidate.cost += candidate.otherDomainCost;
    }
    return candidate;
  }

  private Candidate plainCandidate(UpstreamInstance instance, UpstreamLoad load) {
    Candidate candidate = new Candidate(instance, new UpstreamLoad(1, 0, 0), 0);
    candidate.cost = load.inFlight() + ERROR_REQUESTS * fleet.health().errorRate(instance.id());
    candidate.otherDomainCost = OTHER_DOMAIN_REQUESTS;
    candidate.hasCapacity = load.inFlight() < Math.max(1, instance.slots());
    candidate.meetsObjective = candidate.hasCapacity;
    return candidate;
  }

  private Candidate engineCandidate(
      Ticket ticket,
      ServiceSpec.EngineSpec engine,
      UpstreamInstance instance,
      int number,
      UpstreamLoad load,
      PrefixLocation prefix) {
    PromptProfile shape = ticket.prompt();
    long cached = Math.min(prefix.cachedBy(number), shape.promptTokens());
    long prefill = shape.promptTokens() - cached;
    long repeatedPrefill = prefix.repeatedPrefillTokens(cached);
    long memoryTokens =
        shape.promptTokens() - Math.min(cached, shape.sharedTokens()) + shape.outputTokens();
    PrefillRateEstimator rate = fleet.prefillRate(ticket.service());
    long backlog = rate.prefillNanos(load.prefillTokens());
    Candidate candidate =
        new Candidate(instance, new UpstreamLoad(1, prefill, memoryTokens), load.prefillTokens());
    candidate.cost =
        load.prefillTokens()
            + prefill
            + (REPEATED_PREFILL_FACTOR - 1) * repeatedPrefill
            + newPrefixCost(prefix, number)
            + ERROR_TOKENS * fleet.health().errorRate(instance.id());
    candidate.otherDomainCost = OTHER_DOMAIN_TOKENS;
    candidate.hasCapacity =
        load.inFlight() < Math.max(1, engine.slots())
            && (load.inFlight() == 0
                || load.memoryTokens() + memoryTokens < MEMORY_SHARE * engine.memoryTokens())
            && backlog <= allowedBacklogNanos(ticket.team(), rate.prefillNanos(repeatedPrefill));
    double share = repeatedPrefill == 0 ? CACHED_OBJECTIVE_SHARE : OBJECTIVE_SHARE;
    candidate.meetsObjective = meetsObjective(ticket, backlog + rate.prefillNanos(prefill), share);
    return candidate;
  }

  /**
   * Returns the cost by which all routers choose the same engine for a prompt.
   *
   * <p>A shared part that no engine holds is read by one of the engines that all routers prefer for
   * it, the one with less to read lately, so that engines get even shares of the shared parts.
   */
  private double newPrefixCost(PrefixLocation prefix, int engine) {
    double cost = RANK_TOKENS * prefix.rankOf(engine);
    if (!prefix.isUncached()) {
      return cost;
    }
    return cost
        + RECENT_PREFILL_WEIGHT
            * fleet.prefixCaches().recentPrefillTokens(engine, fleet.nowNanos());
  }

  /**
   * Returns the backlog up to which a team's requests go to an engine.
   *
   * <p>Routers can't order each other's requests. Teams that got more than the mean stop earlier,
   * so the room above is left to the others at whichever router they are.
   */
  private long allowedBacklogNanos(TeamName team, long repeatedPrefillNanos) {
    if (fleet.usage().relativeToLargest(team, fleet.nowNanos()) < UNDERSERVED_RATIO) {
      return MAX_BACKLOG_NANOS;
    }
    double relative = fleet.usage().relativeToMean(team, fleet.nowNanos());
    double share = relative <= 1 ? 1 : Math.max(MIN_BACKLOG_SHARE, 1 / relative);
    long allowed = (long) (MAX_BACKLOG_NANOS * share);
    return Math.max(Math.min(allowed, NEARLY_IDLE_NANOS), allowed - repeatedPrefillNanos);
  }

  private boolean meetsObjective(Ticket ticket, long firstOutputNanos, double share) {
    long objective = ticket.objectiveNanos() - ticket.arrivedNanos();
    long elapsedNanos = fleet.nowNanos() - ticket.arrivedNanos();
    return elapsedNanos + firstOutputNanos <= share * objective;
  }

  /** An upstream with its cost for one request. */
  private static final class Candidate {
    private final UpstreamInstance instance;
    private final UpstreamLoad work;
    private final long aheadTokens;
    private double cost;
    private double otherDomainCost;
    private boolean hasCapacity;
    private boolean meetsObjective;

    Candidate(UpstreamInstance instance, UpstreamLoad work, long aheadTokens) {
      this.instance = instance;
      this.work = work;
      this.aheadTokens = aheadTokens;
    }

    Decision.Granted toGrant(Ticket ticket) {
      return new Decision.Granted(ticket, instance, work, aheadTokens);
    }
  }
}
