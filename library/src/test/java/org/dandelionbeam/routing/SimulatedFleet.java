package org.dandelionbeam.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.dandelionbeam.base.FailureDomain;

/**
 * Simulates routers and model engines in virtual time. Engines prefill prompts one after another at
 * a fixed rate; routers report changes to each other within 2 ms.
 */
final class SimulatedFleet {
  static final ServiceName MODEL = ServiceName.of("model");
  static final FailureDomain DOMAIN = FailureDomain.of("a");
  static final long MS = 1_000_000L;
  static final FleetLimits LIMITS = new FleetLimits(0.2, 54, Duration.ofSeconds(10), 1.5, 5);

  private static final long ENGINE_MEMORY_TOKENS = 200_000;
  private static final int REPORT_MS = 100;
  private static final int CHANGE_REPORT_MS = 2;
  private static final int POLL_MS = 12;

  private final double tokensPerMs;
  private final List<Router> routers = new ArrayList<>();
  private final Map<InstanceId, Engine> engines = new HashMap<>();
  private long nowMs;
  private long lastTicketNumber;

  SimulatedFleet(int routerCount, int engineCount, double tokensPerMs) {
    this.tokensPerMs = tokensPerMs;
    for (int i = 0; i < routerCount; i++) {
      routers.add(new Router(i));
    }
    for (int i = 0; i < engineCount; i++) {
      UpstreamInstance instance = instance("engine-" + i, 0);
      engines.put(instance.id(), new Engine());
      routers.forEach(router -> router.state.upstreams().put(instance, 0));
    }
  }

  static UpstreamInstance instance(String id, int coldMs) {
    return new UpstreamInstance(
        InstanceId.of(id),
        1,
        MODEL,
        new Endpoint("10.0.0.1", 80),
        DOMAIN,
        96,
        false,
        Duration.ofMillis(coldMs));
  }

  static RoutingTable table() {
    return RoutingTable.builder(1)
        .service(
            new ServiceSpec(
                MODEL,
                Duration.ofSeconds(3),
                11,
                Optional.of(new ServiceSpec.EngineSpec(96, ENGINE_MEMORY_TOKENS))))
        .build();
  }

  static PromptProfile prompt(String session, long shared, long own, String unique) {
    long first = PromptProfile.hashOf(session);
    return new PromptProfile(
        shared + own,
        20,
        List.of(
            new PromptProfile.Part(first, shared),
            new PromptProfile.Part(PromptProfile.hashOf(unique), own)));
  }

  long nowMs() {
    return nowMs;
  }

  Router router(int index) {
    return routers.get(index);
  }

  int routerCount() {
    return routers.size();
  }

  /** Advances the time by one millisecond: engines prefill, routers report and decide. */
  void step() {
    nowMs++;
    engines.values().forEach(this::prefill);
    if (nowMs % REPORT_MS == 0) {
      exchangeReports();
    }
    if (nowMs % CHANGE_REPORT_MS == 0) {
      routers.forEach(Router::reportChanges);
    }
    for (int i = 0; i < routers.size(); i++) {
      if ((nowMs + i) % POLL_MS == 0) {
        routers.get(i).poll();
      }
    }
  }

  private void prefill(Engine engine) {
    double left = tokensPerMs;
    while (left > 0 && !engine.queue.isEmpty()) {
      QueuedRequest work = engine.queue.get(0);
      double read = Math.min(left, work.prefillTokens);
      work.prefillTokens -= read;
      left -= read;
      if (work.prefillTokens <= 0) {
        engine.queue.remove(0);
        work.router.prefilled(work);
      }
    }
  }

  private void exchangeReports() {
    for (Router from : routers) {
      for (Router to : routers) {
        if (from != to) {
          from.reportTo(to);
        }
      }
    }
  }

  /** A router with counts of its requests by outcome and team. */
  final class Router {
    final FleetState state;
    final Scheduler scheduler;
    final Map<String, Integer> served = new HashMap<>();
    final Map<String, Integer> servedInTime = new HashMap<>();
    final Map<String, Integer> refused = new HashMap<>();
    long sharedPrefillTokens;
    private final RouterName name;
    private final Map<Long, Long> arrivals = new HashMap<>();

    Router(int index) {
      name = RouterName.of("router-" + index);
      Endpoint callers = new Endpoint("10.0.1." + (index + 1), 80);
      state =
          FleetState.of(
              LIMITS, FleetMembers.of(new FleetMembers.Member(name, callers, callers, DOMAIN, 1)));
      state.accept(table());
      scheduler = Scheduler.of(state, DOMAIN);
    }

    Decision submit(String team, PromptProfile profile, long objectiveMs) {
      state.advanceTo(nowMs * MS);
      lastTicketNumber++;
      Ticket ticket =
          Ticket.builder(lastTicketNumber)
              .request(MODEL, TeamName.of(team), profile)
              .times(nowMs * MS, (nowMs + objectiveMs) * MS, (nowMs + 5_000) * MS)
              .firstOutputTimeout(2_400 * MS)
              .build();
      Decision decision = scheduler.submit(ticket);
      apply(decision);
      return decision;
    }

    private void poll() {
      state.advanceTo(nowMs * MS);
      scheduler.poll().forEach(this::apply);
    }

    private void apply(Decision decision) {
      if (decision instanceof Decision.Granted grant) {
        Engine engine = engines.get(grant.instance().id());
        long prefillTokens = engine.prefillTokensOf(grant.ticket().prompt());
        long own = grant.ticket().prompt().parts().get(1).tokens();
        sharedPrefillTokens += prefillTokens - own;
        engine.queue.add(new QueuedRequest(this, grant, prefillTokens));
      } else if (decision instanceof Decision.Refused) {
        refused.merge(decision.ticket().team().text(), 1, Integer::sum);
      }
    }

    private void prefilled(QueuedRequest work) {
      state.advanceTo(nowMs * MS);
      Ticket ticket = work.grant.ticket();
      scheduler.recordFirstOutput(work.grant, Duration.ofMillis(nowMs - work.sentMs));
      scheduler.recordEnd(work.grant, true);
      poll();
      served.merge(ticket.team().text(), 1, Integer::sum);
      if (nowMs * MS <= ticket.objectiveNanos()) {
        servedInTime.merge(ticket.team().text(), 1, Integer::sum);
      }
    }

    private void reportChanges() {
      Map<Integer, UpstreamLoad> changes = state.loads().drainChanges();
      List<SentPrompt> prompts = state.prefixCaches().drainSentPrompts();
      for (Router other : routers) {
        if (other != this && !changes.isEmpty()) {
          other.state.loads().mergePeerLoads(name, changes, nowMs * MS);
          prompts.forEach(prompt -> other.state.prefixCaches().recordPeerSent(prompt, nowMs * MS));
        }
      }
    }

    private void reportTo(Router other) {
      other.state.loads().replacePeerLoads(name, state.loads().localLoads(), nowMs * MS);
      other.state.usage().recordPeerUsage(name, state.usage().localUsage(nowMs * MS), nowMs * MS);
    }
  }

  /** An engine with the prompts that it has yet to prefill and the parts that it caches. */
  private static final class Engine {
    private final List<QueuedRequest> queue = new ArrayList<>();
    private final Map<Long, Long> cachedParts = new LinkedHashMap<>();

    long prefillTokensOf(PromptProfile profile) {
      PromptProfile.Part first = profile.parts().get(0);
      PromptProfile.Part own = profile.parts().get(1);
      boolean holds = cachedParts.remove(first.hash()) != null;
      cachedParts.put(own.hash(), own.tokens());
      cachedParts.put(first.hash(), first.tokens());
      long kept = cachedParts.values().stream().mapToLong(Long::longValue).sum();
      for (Iterator<Long> eldest = cachedParts.values().iterator(); kept > ENGINE_MEMORY_TOKENS; ) {
        kept -= eldest.next();
        eldest.remove();
      }
      return profile.promptTokens() - (holds ? first.tokens() : 0);
    }
  }

  /** A request in the queue of an engine. */
  private final class QueuedRequest {
    private final Router router;
    private final Decision.Granted grant;
    private final long sentMs = nowMs;
    private double prefillTokens;

    QueuedRequest(Router router, Decision.Granted grant, double prefillTokens) {
      this.router = router;
      this.grant = grant;
      this.prefillTokens = prefillTokens;
    }
  }

  /**
   * Returns the tokens of shared parts that engines prefilled as they had not cached them, over all
   * routers.
   */
  long sharedPrefillTokens() {
    return routers.stream().mapToLong(router -> router.sharedPrefillTokens).sum();
  }

  /** Sums a count of a team's requests over all routers. */
  int sum(java.util.function.Function<Router, Map<String, Integer>> counts, String team) {
    return routers.stream().mapToInt(router -> counts.apply(router).getOrDefault(team, 0)).sum();
  }
}
