package org.dandelionbeam.routing;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;

/**
 * Selects the upstream of a request.
 *
 * <p>Among engines it selects the one with the fewest tokens to prefill before the first output,
 * where parts that another engine has cached cost extra; among upstreams of a plain service the one
 * with the fewest requests. Not thread-safe.
 */
final class UpstreamSelector {
  /**
   * Cost factor of tokens that another engine has cached. Prefilling a shared part again takes
   * engine time from all requests and occupies memory on two engines, so a request should rather
   * wait for the engine that caches the part.
   */
  private static final double REPEATED_PREFILL_FACTOR = 15;

  /**
   * Cost per rank, which makes all routers choose the same next engine when the preferred one has
   * no free slots.
   */
  private static final long RANK_COST_TOKENS = 300;

  /**
   * Weight of recently prefilled tokens; an engine with an eighth more of them than others falls
   * behind by a few ranks.
   */
  private static final double RECENT_PREFILL_WEIGHT = 0.1;

  /** Cost, in tokens, of sending a request to another failure domain. */
  private static final long OTHER_DOMAIN_COST_TOKENS = 200;

  /** Cost, in tokens, of an engine that fails all its requests. */
  private static final long ERROR_COST_TOKENS = 40_000;

  /** Cost, in requests in flight, of an upstream that fails all its requests. */
  private static final double ERROR_COST_REQUESTS = 8;

  /** Cost, in requests in flight, of sending a request to another failure domain. */
  private static final double OTHER_DOMAIN_COST_REQUESTS = 0.3;

  /** Share of an engine's memory that running requests may occupy beside cached parts. */
  private static final double MEMORY_SHARE = 0.8;

  /**
   * Longest backlog of an engine. It keeps the engine busy between the reports of the routers; with
   * a longer one, requests would only wait at the engine, where they can't be reordered any more.
   */
  private static final long MAX_BACKLOG_NANOS = Duration.ofMillis(80).toNanos();

  /**
   * Backlog up to which an engine may get a prompt whose shared parts another engine caches. Beyond
   * it, prefilling them again would delay requests whose parts the engine caches itself.
   */
  private static final long NEARLY_IDLE_NANOS = Duration.ofMillis(30).toNanos();

  /**
   * Share of the objective that the wait for the first output may take; the rest is for the
   * network.
   */
  private static final double OBJECTIVE_SHARE = 0.7;

  /**
   * The same share at an engine that caches the shared parts: a late response is better than
   * repeated prefill.
   */
  private static final double CACHED_OBJECTIVE_SHARE = 0.9;

  /**
   * Work of a team's requests that wait for the same engine, relative to the next one, above which
   * that one leaves: a team with few waiting requests gets on with the engine that caches them.
   */
  private static final double MIN_AWAITED_RATIO = 2;

  /** Time in which a router that asked the wrong scheduler finds the assigned one. */
  private static final Duration ASSIGNMENT_TIME = Duration.ofSeconds(2);

  /** Usage relative to the team with most usage below which a team is behind. */
  private static final double BEHIND_RATIO = 0.7;

  private final FleetState fleet;
  private final UpstreamScope scope;
  private final UpstreamHealth health;

  UpstreamSelector(FleetState fleet, UpstreamScope scope, UpstreamHealth health) {
    this.fleet = requireNonNull(fleet, "fleet");
    this.scope = requireNonNull(scope, "scope");
    this.health = requireNonNull(health, "health");
  }

  /**
   * Returns the upstreams that may get the request: those of the software version that it is bound
   * to, that it was not sent to yet and that are not avoided, or if all of these are avoided, the
   * avoided ones too.
   */
  List<UpstreamInstance> candidates(Ticket ticket, long nowNanos) {
    return candidates(ticket, scope.upstreams(ticket.service()), nowNanos);
  }

  private List<UpstreamInstance> candidates(
      Ticket ticket, List<UpstreamInstance> usable, long nowNanos) {
    List<UpstreamInstance> notExcluded = new ArrayList<>();
    List<UpstreamInstance> healthy = new ArrayList<>();
    for (UpstreamInstance instance : usable) {
      if (!ticket.isExcluded(instance.number()) && ticket.isServedBy(instance)) {
        notExcluded.add(instance);
        if (!health.isAvoided(instance.id(), nowNanos)) {
          healthy.add(instance);
        }
      }
    }
    return healthy.isEmpty() ? notExcluded : healthy;
  }

  /** Returns the time until an upstream may get the request as far as rate limits are concerned. */
  Duration timeUntilWithinLimits(Ticket ticket, long nowNanos) {
    return candidates(ticket, nowNanos).stream()
        .map(instance -> timeUntilWithinLimit(instance, nowNanos))
        .min(Duration::compareTo)
        .orElse(Duration.ZERO);
  }

  private Duration timeUntilWithinLimit(UpstreamInstance instance, long nowNanos) {
    RateLimit limit = fleet.rateLimits().limitOf(instance.number(), nowNanos);
    if (limit.isNone()) {
      return Duration.ZERO;
    }
    return scope.mayUseWhileLimited(instance)
        ? fleet.rateLimiter().waitFor(instance.id(), limit, nowNanos)
        : ASSIGNMENT_TIME;
  }

  /** Where a request goes. */
  sealed interface Placement {

    /**
     * The request is sent to an upstream now.
     *
     * @param grant the grant
     */
    record Now(Decision.Granted grant) implements Placement {}

    /**
     * The request waits.
     *
     * @param upstream number of the upstream that it waits for, empty if there is none
     */
    record Later(OptionalInt upstream) implements Placement {}
  }

  /**
   * Selects the upstream that should get the request.
   *
   * <p>A request waits for the best upstream while its objective can be met there. It goes to
   * another one only if that one meets the objective, or if its team is behind others, several of
   * its requests wait for the best upstream, and its first output comes sooner elsewhere.
   *
   * @param awaited requests that wait for an upstream and go before this one
   */
  Placement select(Ticket ticket, ServiceSpec spec, AwaitedWork awaited, long nowNanos) {
    List<UpstreamInstance> usable = scope.upstreams(ticket.service());
    List<UpstreamInstance> candidates = candidates(ticket, usable, nowNanos);
    PrefixLocation prefix = locatePrefix(ticket, spec, usable, candidates);
    Candidate best = null;
    Candidate bestWithCapacity = null;
    Candidate soonestWithRoom = null;
    for (UpstreamInstance instance : candidates) {
      Candidate candidate = evaluate(ticket, spec, instance, prefix, awaited, nowNanos);
      best = cheaper(best, candidate);
      bestWithCapacity =
          candidate.hasCapacity ? cheaper(bestWithCapacity, candidate) : bestWithCapacity;
      soonestWithRoom = candidate.hasRoom ? sooner(soonestWithRoom, candidate) : soonestWithRoom;
    }
    if (bestWithCapacity != null
        && (best == bestWithCapacity || !best.meetsObjective && bestWithCapacity.meetsObjective)) {
      return bestWithCapacity.toPlacement(ticket);
    }
    boolean leaves =
        soonestWithRoom != null
            && !best.meetsObjective
            && awaited.tokensFor(best.instance.number(), ticket.team())
                > MIN_AWAITED_RATIO * ticket.prompt().unsharedTokens()
            && soonestWithRoom.firstOutputNanos < best.firstOutputNanos
            && isBehind(ticket.team(), nowNanos);
    return leaves
        ? soonestWithRoom.toPlacement(ticket)
        : new Placement.Later(
            best == null ? OptionalInt.empty() : OptionalInt.of(best.instance.number()));
  }

  private boolean isBehind(TeamName team, long nowNanos) {
    return fleet.usage().relativeToMost(team, nowNanos) < BEHIND_RATIO;
  }

  private static Candidate sooner(Candidate current, Candidate other) {
    return current == null || other.firstOutputNanos < current.firstOutputNanos ? other : current;
  }

  private static Candidate cheaper(Candidate current, Candidate other) {
    return current == null || other.cost < current.cost ? other : current;
  }

  private PrefixLocation locatePrefix(
      Ticket ticket,
      ServiceSpec spec,
      List<UpstreamInstance> usable,
      List<UpstreamInstance> candidates) {
    PromptProfile profile = ticket.prompt();
    if (spec.engine().isEmpty() || !profile.isModelRequest()) {
      return PrefixLocation.NONE;
    }
    Map<Integer, Long> cachedByEngine = new HashMap<>();
    long mostCached = 0;
    for (UpstreamInstance instance : candidates) {
      int number = instance.number();
      long cached = fleet.prefixCaches().cachedTokens(profile, number);
      cachedByEngine.put(number, cached);
      mostCached = Math.max(mostCached, cached);
    }
    List<Integer> numbers = usable.stream().map(UpstreamInstance::number).toList();
    long shared = profile.sharedTokens();
    return new PrefixLocation(
        PrefixCacheModel.ranks(profile, numbers),
        cachedByEngine,
        Math.min(mostCached, shared),
        mostCached < shared);
  }

  /**
   * Which engines have cached the leading parts of a prompt.
   *
   * @param ranks rank by engine number in the order in which all routers prefer the engines
   * @param cachedByEngine tokens of the leading parts that each engine caches
   * @param mostSharedCached tokens of shared parts cached by the engine that caches most of them
   * @param isUncached whether no engine caches all shared parts, so that one must prefill them
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

    /** Returns the tokens that an engine has to prefill although another engine caches them. */
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
      AwaitedWork awaited,
      long nowNanos) {
    boolean withinRate =
        isWithinColdRate(spec, instance, nowNanos) && isWithinNamedLimit(instance, nowNanos);
    int number = instance.number();
    UpstreamLoad load = fleet.loads().load(number);
    Candidate candidate =
        spec.engine().isPresent() && ticket.prompt().isModelRequest()
            ? engineCandidate(ticket, spec.engine().get(), instance, load, prefix, awaited)
            : plainCandidate(instance, load);
    candidate.hasCapacity &= withinRate;
    candidate.hasRoom &= withinRate;
    candidate.meetsObjective &= withinRate;
    boolean otherDomain =
        ticket.domain().isPresent() && !ticket.domain().get().equals(instance.domain());
    if (otherDomain) {
      candidate.cost += candidate.otherDomainCost;
    }
    return candidate;
  }

  private boolean isWithinColdRate(ServiceSpec spec, UpstreamInstance instance, long nowNanos) {
    double perSecond = spec.coldRequestsPerSecond();
    return perSecond <= 0
        || !fleet.upstreams().isCold(instance.id(), nowNanos)
        || (scope.mayUseWhileCold(instance, nowNanos)
            && fleet.rateLimiter().allowsWhileCold(instance.id(), perSecond, nowNanos));
  }

  private boolean isWithinNamedLimit(UpstreamInstance instance, long nowNanos) {
    return timeUntilWithinLimit(instance, nowNanos).isZero();
  }

  private Candidate plainCandidate(UpstreamInstance instance, UpstreamLoad load) {
    Candidate candidate = new Candidate(instance, new UpstreamLoad(1, 0, 0), 0);
    candidate.cost = load.inFlight() + ERROR_COST_REQUESTS * health.errorRate(instance.id());
    candidate.otherDomainCost = OTHER_DOMAIN_COST_REQUESTS;
    candidate.hasCapacity = load.inFlight() < Math.max(1, instance.slots());
    candidate.hasRoom = candidate.hasCapacity;
    candidate.meetsObjective = candidate.hasCapacity;
    return candidate;
  }

  private Candidate engineCandidate(
      Ticket ticket,
      ServiceSpec.EngineSpec engine,
      UpstreamInstance instance,
      UpstreamLoad load,
      PrefixLocation prefix,
      AwaitedWork awaited) {
    int number = instance.number();
    PromptProfile profile = ticket.prompt();
    long cached = Math.min(prefix.cachedBy(number), profile.promptTokens());
    long prefill = profile.promptTokens() - cached;
    long repeatedPrefill = prefix.repeatedPrefillTokens(cached);
    long memoryTokens =
        profile.promptTokens() - Math.min(cached, profile.sharedTokens()) + profile.outputTokens();
    PrefillRateEstimator rate = fleet.prefillRate(ticket.service());
    long backlog = rate.prefillNanos(load.prefillTokens());
    Candidate candidate =
        new Candidate(instance, new UpstreamLoad(1, prefill, memoryTokens), load.prefillTokens());
    candidate.cost =
        load.prefillTokens()
            + prefill
            + (REPEATED_PREFILL_FACTOR - 1) * repeatedPrefill
            + newPrefixCost(prefix, number)
            + ERROR_COST_TOKENS * health.errorRate(instance.id());
    candidate.otherDomainCost = OTHER_DOMAIN_COST_TOKENS;
    candidate.hasRoom =
        load.inFlight() < Math.max(1, engine.slots())
            && (load.inFlight() == 0
                || load.memoryTokens() + memoryTokens < MEMORY_SHARE * engine.memoryTokens())
            && backlog <= MAX_BACKLOG_NANOS;
    candidate.hasCapacity =
        candidate.hasRoom && backlog <= allowedBacklogNanos(rate.prefillNanos(repeatedPrefill));
    candidate.firstOutputNanos =
        backlog
            + rate.prefillNanos(awaited.tokensFor(number, ticket.team()))
            + rate.prefillNanos(prefill);
    double share = repeatedPrefill == 0 ? CACHED_OBJECTIVE_SHARE : OBJECTIVE_SHARE;
    candidate.meetsObjective = meetsObjective(ticket, candidate.firstOutputNanos, share);
    return candidate;
  }

  /**
   * Returns the cost by which all routers prefer the same engine for a prompt.
   *
   * <p>If no engine caches the shared parts, engines that had to prefill much lately cost more, so
   * that the shared parts spread evenly.
   */
  private double newPrefixCost(PrefixLocation prefix, int engine) {
    double cost = RANK_COST_TOKENS * prefix.rankOf(engine);
    if (!prefix.isUncached()) {
      return cost;
    }
    return cost
        + RECENT_PREFILL_WEIGHT
            * fleet.prefixCaches().recentPrefillTokens(engine, fleet.nowNanos());
  }

  /**
   * Returns the longest backlog of an engine that a request is sent to; shorter if the engine would
   * prefill again what another one caches.
   */
  private static long allowedBacklogNanos(long repeatedPrefillNanos) {
    return Math.max(NEARLY_IDLE_NANOS, MAX_BACKLOG_NANOS - repeatedPrefillNanos);
  }

  private boolean meetsObjective(Ticket ticket, long firstOutputNanos, double share) {
    long objective = ticket.objectiveNanos() - ticket.arrivedNanos();
    long elapsedNanos = fleet.nowNanos() - ticket.arrivedNanos();
    return elapsedNanos + firstOutputNanos <= share * objective;
  }

  /** An upstream with its cost for one request. */
  private static final class Candidate {
    private final UpstreamInstance instance;
    private final UpstreamLoad addedLoad;
    private final long aheadTokens;
    private double cost;
    private double otherDomainCost;
    private long firstOutputNanos;
    private boolean hasRoom;
    private boolean hasCapacity;
    private boolean meetsObjective;

    Candidate(UpstreamInstance instance, UpstreamLoad addedLoad, long aheadTokens) {
      this.instance = instance;
      this.addedLoad = addedLoad;
      this.aheadTokens = aheadTokens;
    }

    Placement toPlacement(Ticket ticket) {
      return new Placement.Now(new Decision.Granted(ticket, instance, addedLoad, aheadTokens));
    }
  }
}
