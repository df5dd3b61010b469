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
final class Placement {
  /**
   * Reading a shared part again takes an engine's time from all requests and fills its memory
   * twice, so a request rather waits for the engine that holds the part.
   */
  private static final double REREAD_FACTOR = 15;

  /** Makes all routers choose the same next engine when the preferred one has no room. */
  private static final long RANK_TOKENS = 300;

  /** Makes an eighth more work than others got lately outweigh a few ranks. */
  private static final double NEW_HOME_WEIGHT = 0.1;

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
  private static final double HOLDER_OBJECTIVE_SHARE = 0.9;

  /** Service against the team that got most, below which a large team is owed service. */
  private static final double OWED_SHARE = 0.6;

  private final FleetState fleet;
  private final FailureDomain here;

  Placement(FleetState fleet, FailureDomain here) {
    this.fleet = requireNonNull(fleet, "fleet");
    this.here = requireNonNull(here, "here");
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
    List<UpstreamInstance> untried = new ArrayList<>();
    List<UpstreamInstance> sound = new ArrayList<>();
    for (UpstreamInstance instance : usable) {
      if (!ticket.isExcluded(instance.id())) {
        untried.add(instance);
        if (!fleet.health().isAvoided(instance.id(), nowNanos)) {
          sound.add(instance);
        }
      }
    }
    return sound.isEmpty() ? untried : sound;
  }

  /**
   * Returns the upstream that should get the request now, empty if the request should wait.
   *
   * <p>A request waits for the best upstream while it can be answered there in time. It goes to
   * another one only if that one answers it in time.
   */
  Optional<Decision.Granted> choose(Ticket ticket, ServiceSpec spec, long nowNanos) {
    List<UpstreamInstance> usable = fleet.upstreams().usable(ticket.service());
    List<UpstreamInstance> candidates = candidates(ticket, usable, nowNanos);
    PromptHolders holders = holdersOf(ticket, spec, usable, candidates);
    Choice best = null;
    Choice open = null;
    for (UpstreamInstance instance : candidates) {
      Choice choice = evaluate(ticket, spec, instance, holders, nowNanos);
      best = cheaper(best, choice);
      open = choice.hasRoom ? cheaper(open, choice) : open;
    }
    if (open == null || best == open) {
      return Optional.ofNullable(open).map(choice -> choice.granted(ticket));
    }
    boolean waits = best.answersInTime || !open.answersInTime;
    return waits ? Optional.empty() : Optional.of(open.granted(ticket));
  }

  private static Choice cheaper(Choice known, Choice other) {
    return known == null || other.cost < known.cost ? other : known;
  }

  private PromptHolders holdersOf(
      Ticket ticket,
      ServiceSpec spec,
      List<UpstreamInstance> usable,
      List<UpstreamInstance> candidates) {
    PromptShape shape = ticket.shape();
    if (spec.engine().isEmpty() || !shape.isModelRequest()) {
      return PromptHolders.NONE;
    }
    Map<Integer, Long> heldByEngine = new HashMap<>();
    long most = 0;
    for (UpstreamInstance instance : candidates) {
      int number = LoadBoard.numberOf(instance);
      long held = fleet.cache().heldTokens(shape, number);
      heldByEngine.put(number, held);
      most = Math.max(most, held);
    }
    List<Integer> numbers = usable.stream().map(LoadBoard::numberOf).toList();
    long shared = shape.sharedTokens();
    return new PromptHolders(
        PromptCache.ranks(shape, numbers), heldByEngine, Math.min(most, shared), most < shared);
  }

  /**
   * Where a prompt should be read.
   *
   * @param ranks order in which all routers prefer the engines
   * @param heldByEngine tokens of its leading parts that the engines hold
   * @param sharedHeld tokens of shared parts that the engine with most of them holds
   * @param isNew whether no engine holds all shared parts, so that one must read them
   */
  private record PromptHolders(
      Map<Integer, Integer> ranks,
      Map<Integer, Long> heldByEngine,
      long sharedHeld,
      boolean isNew) {
    private static final PromptHolders NONE = new PromptHolders(Map.of(), Map.of(), 0, false);

    long heldBy(int engine) {
      return heldByEngine.getOrDefault(engine, 0L);
    }

    /** Tokens to read again because the request doesn't go to the engine that holds them. */
    long rereadAt(long held) {
      return isNew ? 0 : Math.max(0, sharedHeld - held);
    }

    int rankOf(int engine) {
      return ranks.getOrDefault(engine, 1);
    }
  }

  private Choice evaluate(
      Ticket ticket,
      ServiceSpec spec,
      UpstreamInstance instance,
      PromptHolders holders,
      long nowNanos) {
    boolean cold = fleet.upstreams().isCold(instance.id(), nowNanos);
    boolean coldRoom =
        !cold
            || spec.coldRequestsPerSecond() <= 0
            || fleet
                .coldPace()
                .allows(instance.id(), spec.coldRequestsPerSecond(), fleet.routerCount(), nowNanos);
    int number = LoadBoard.numberOf(instance);
    UpstreamLoad load = fleet.loads().total(number, nowNanos);
    Choice choice =
        spec.engine().isPresent() && ticket.shape().isModelRequest()
            ? engineChoice(ticket, spec.engine().get(), instance, number, load, holders)
            : plainChoice(instance, load);
    choice.hasRoom &= coldRoom;
    choice.answersInTime &= coldRoom;
    if (!instance.domain().equals(here)) {
      choice.cost += choice.otherDomainCost;
    }
    return choice;
  }

  private Choice plainChoice(UpstreamInstance instance, UpstreamLoad load) {
    Choice choice = new Choice(instance, new UpstreamLoad(1, 0, 0), 0);
    choice.cost = load.inFlight() + ERROR_REQUESTS * fleet.health().errorRate(instance.id());
    choice.otherDomainCost = OTHER_DOMAIN_REQUESTS;
    choice.hasRoom = load.inFlight() < Math.max(1, instance.slots());
    choice.answersInTime = choice.hasRoom;
    return choice;
  }

  private Choice engineChoice(
      Ticket ticket,
      ServiceSpec.EngineSpec engine,
      UpstreamInstance instance,
      int number,
      UpstreamLoad load,
      PromptHolders holders) {
    PromptShape shape = ticket.shape();
    long held = Math.min(holders.heldBy(number), shape.promptTokens());
    long unread = shape.promptTokens() - held;
    long reread = holders.rereadAt(held);
    long memory =
        shape.promptTokens() - Math.min(held, shape.sharedTokens()) + shape.outputTokens();
    ReadRate rate = fleet.readRate(ticket.service());
    long backlog = rate.nanosFor(load.unreadTokens());
    Choice choice = new Choice(instance, new UpstreamLoad(1, unread, memory), load.unreadTokens());
    choice.cost =
        load.unreadTokens()
            + unread
            + (REREAD_FACTOR - 1) * reread
            + newHomeCost(holders, number)
            + ERROR_TOKENS * fleet.health().errorRate(instance.id());
    choice.otherDomainCost = OTHER_DOMAIN_TOKENS;
    choice.hasRoom =
        load.inFlight() < Math.max(1, engine.slots())
            && (load.inFlight() == 0
                || load.memoryTokens() + memory < MEMORY_SHARE * engine.memoryTokens())
            && backlog <= allowedBacklogNanos(ticket.team(), rate.nanosFor(reread));
    double share = reread == 0 ? HOLDER_OBJECTIVE_SHARE : OBJECTIVE_SHARE;
    choice.answersInTime = isInTime(ticket, backlog + rate.nanosFor(unread), share);
    return choice;
  }

  /**
   * Returns the cost by which all routers choose the same engine for a prompt.
   *
   * <p>A shared part that no engine holds is read by one of the engines that all routers prefer for
   * it, the one with less to read lately, so that engines get even shares of the shared parts.
   */
  private double newHomeCost(PromptHolders holders, int engine) {
    double cost = RANK_TOKENS * holders.rankOf(engine);
    if (!holders.isNew()) {
      return cost;
    }
    return cost + NEW_HOME_WEIGHT * fleet.cache().recentlyRead(engine, fleet.nowNanos());
  }

  /**
   * Returns the backlog up to which a team's requests go to an engine.
   *
   * <p>Routers can't order each other's requests. Teams that got more than the mean stop earlier,
   * so the room above is left to the others at whichever router they are.
   */
  private long allowedBacklogNanos(TeamName team, long rereadNanos) {
    if (fleet.usage().toLargest(team, fleet.nowNanos()) < OWED_SHARE) {
      return MAX_BACKLOG_NANOS;
    }
    double relative = fleet.usage().relative(team, fleet.nowNanos());
    double share = relative <= 1 ? 1 : Math.max(MIN_BACKLOG_SHARE, 1 / relative);
    long allowed = (long) (MAX_BACKLOG_NANOS * share);
    return Math.max(Math.min(allowed, NEARLY_IDLE_NANOS), allowed - rereadNanos);
  }

  private boolean isInTime(Ticket ticket, long firstOutputNanos, double share) {
    long objective = ticket.objectiveNanos() - ticket.arrivedNanos();
    long waited = fleet.nowNanos() - ticket.arrivedNanos();
    return waited + firstOutputNanos <= share * objective;
  }

  /** An upstream with its cost for one request. */
  private static final class Choice {
    private final UpstreamInstance instance;
    private final UpstreamLoad work;
    private final long aheadTokens;
    private double cost;
    private double otherDomainCost;
    private boolean hasRoom;
    private boolean answersInTime;

    Choice(UpstreamInstance instance, UpstreamLoad work, long aheadTokens) {
      this.instance = instance;
      this.work = work;
      this.aheadTokens = aheadTokens;
    }

    Decision.Granted granted(Ticket ticket) {
      return new Decision.Granted(ticket, instance, work, aheadTokens);
    }
  }
}
