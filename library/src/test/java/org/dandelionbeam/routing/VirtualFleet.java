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
 * Routers before model engines in virtual time. Engines read prompts one after another at a fixed
 * rate; routers report changes to each other within 2 ms.
 */
final class VirtualFleet {
  static final ServiceName MODEL = ServiceName.of("model");
  static final FailureDomain DOMAIN = FailureDomain.of("a");
  static final long MS = 1_000_000L;
  static final FleetLimits LIMITS = new FleetLimits(0.2, 54, Duration.ofSeconds(10), 1.5, 5);

  private static final long ENGINE_MEMORY_TOKENS = 200_000;
  private static final int REPORT_MS = 100;
  private static final int DELAY_MS = 2;
  private static final int POLL_MS = 12;

  private final double tokensPerMs;
  private final List<Router> routers = new ArrayList<>();
  private final Map<InstanceId, Engine> engines = new HashMap<>();
  private long nowMs;
  private long tickets;

  VirtualFleet(int routerCount, int engineCount, double tokensPerMs) {
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

  static PromptShape prompt(String session, long shared, long own, String unique) {
    long first = PromptShape.hashOf(session);
    return new PromptShape(
        shared + own,
        20,
        List.of(
            new PromptShape.Part(first, shared),
            new PromptShape.Part(PromptShape.hashOf(unique), own)));
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

  /** Moves the time on by a millisecond: engines read, routers report and decide. */
  void step() {
    nowMs++;
    engines.values().forEach(this::read);
    if (nowMs % REPORT_MS == 0) {
      report();
    }
    if (nowMs % DELAY_MS == 0) {
      routers.forEach(Router::reportChanges);
    }
    for (int i = 0; i < routers.size(); i++) {
      if ((nowMs + i) % POLL_MS == 0) {
        routers.get(i).poll();
      }
    }
  }

  private void read(Engine engine) {
    double left = tokensPerMs;
    while (left > 0 && !engine.queue.isEmpty()) {
      Work work = engine.queue.get(0);
      double read = Math.min(left, work.unread);
      work.unread -= read;
      left -= read;
      if (work.unread <= 0) {
        engine.queue.remove(0);
        work.router.ended(work);
      }
    }
  }

  private void report() {
    for (Router from : routers) {
      for (Router to : routers) {
        if (from != to) {
          from.reportTo(to);
        }
      }
    }
  }

  /** One router with what became of its requests. */
  final class Router {
    final FleetState state;
    final Scheduler scheduler;
    final Map<String, Integer> served = new HashMap<>();
    final Map<String, Integer> inTime = new HashMap<>();
    final Map<String, Integer> refused = new HashMap<>();
    long rereadTokens;
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

    Decision submit(String team, PromptShape shape, long objectiveMs) {
      state.at(nowMs * MS);
      tickets++;
      Ticket ticket =
          Ticket.builder(tickets)
              .request(MODEL, TeamName.of(team), shape)
              .times(nowMs * MS, (nowMs + objectiveMs) * MS, (nowMs + 5_000) * MS)
              .patience(2_400 * MS)
              .build();
      Decision decision = scheduler.submit(ticket);
      take(decision);
      return decision;
    }

    private void poll() {
      state.at(nowMs * MS);
      scheduler.poll().forEach(this::take);
    }

    private void take(Decision decision) {
      if (decision instanceof Decision.Granted grant) {
        Engine engine = engines.get(grant.instance().id());
        long unread = engine.unreadOf(grant.ticket().shape());
        long own = grant.ticket().shape().parts().get(1).tokens();
        rereadTokens += unread - own;
        engine.queue.add(new Work(this, grant, unread));
      } else if (decision instanceof Decision.Refused) {
        refused.merge(decision.ticket().team().text(), 1, Integer::sum);
      }
    }

    private void ended(Work work) {
      state.at(nowMs * MS);
      Ticket ticket = work.grant.ticket();
      scheduler.firstOutput(work.grant, Duration.ofMillis(nowMs - work.sentMs));
      scheduler.finished(work.grant, true);
      poll();
      served.merge(ticket.team().text(), 1, Integer::sum);
      if (nowMs * MS <= ticket.objectiveNanos()) {
        inTime.merge(ticket.team().text(), 1, Integer::sum);
      }
    }

    private void reportChanges() {
      Map<Integer, UpstreamLoad> changes = state.loads().takeChanges();
      List<SentPrompt> prompts = state.cache().takeSent();
      for (Router other : routers) {
        if (other != this && !changes.isEmpty()) {
          other.state.loads().heardChanges(name, changes, nowMs * MS);
          prompts.forEach(prompt -> other.state.cache().heard(prompt, nowMs * MS));
        }
      }
    }

    private void reportTo(Router other) {
      other.state.loads().heard(name, state.loads().own(), nowMs * MS);
      other.state.usage().heard(name, state.usage().own(nowMs * MS), nowMs * MS);
    }
  }

  /** Prompts that an engine still reads, and the first parts that it holds. */
  private static final class Engine {
    private final List<Work> queue = new ArrayList<>();
    private final Map<Long, Long> held = new LinkedHashMap<>();

    long unreadOf(PromptShape shape) {
      PromptShape.Part first = shape.parts().get(0);
      PromptShape.Part own = shape.parts().get(1);
      boolean holds = held.remove(first.hash()) != null;
      held.put(own.hash(), own.tokens());
      held.put(first.hash(), first.tokens());
      long kept = held.values().stream().mapToLong(Long::longValue).sum();
      for (Iterator<Long> eldest = held.values().iterator(); kept > ENGINE_MEMORY_TOKENS; ) {
        kept -= eldest.next();
        eldest.remove();
      }
      return shape.promptTokens() - (holds ? first.tokens() : 0);
    }
  }

  /** A request at an engine. */
  private final class Work {
    private final Router router;
    private final Decision.Granted grant;
    private final long sentMs = nowMs;
    private double unread;

    Work(Router router, Decision.Granted grant, double unread) {
      this.router = router;
      this.grant = grant;
      this.unread = unread;
    }
  }

  /** Sums the tokens of shared parts that engines read because they didn't hold them. */
  long rereadTokens() {
    return routers.stream().mapToLong(router -> router.rereadTokens).sum();
  }

  /** Sums what became of a team's requests at all routers. */
  int sum(java.util.function.Function<Router, Map<String, Integer>> counts, String team) {
    return routers.stream().mapToInt(router -> counts.apply(router).getOrDefault(team, 0)).sum();
  }
}
