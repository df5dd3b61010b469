package org.dandelionbeam.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * Load of teams whose sizes differ by a steep power law, with sessions that belong to teams, and
 * callers that come back once after a refusal. Some teams have all their callers at one router.
 */
final class SkewedTeams {
  private static final int TEAMS = 30;
  private static final double SKEW = 2.0;

  /** Sessions of the kind with the largest prompts, over all teams. */
  private static final int SESSIONS = 700;

  private static final double ONE_ROUTER_RATIO = 0.4;

  /** Kinds of requests: share of the requests, shared tokens, mean own tokens, output tokens. */
  private enum Kind {
    LARGE(0.38, 6_300, 2_890, 50, 600),
    MEDIUM(0.27, 568, 1_800, 25, 400),
    SMALL(0.35, 172, 543, 280, 300);

    private final double ratio;
    private final long sharedTokens;
    private final long meanOwnTokens;
    private final long outputTokens;
    private final int objectiveMs;

    Kind(double ratio, long sharedTokens, long meanOwnTokens, long outputTokens, int objectiveMs) {
      this.ratio = ratio;
      this.sharedTokens = sharedTokens;
      this.meanOwnTokens = meanOwnTokens;
      this.outputTokens = outputTokens;
      this.objectiveMs = objectiveMs;
    }
  }

  /** A time in which teams send a multiple of their usual load. */
  record Heat(int firstRank, int lastRank, double factor, int fromMs, int toMs) {}

  /** A request that is repeated later. */
  private record Return(long atMs, int rank, PromptProfile prompt, int objectiveMs) {}

  /** A request under way. */
  private record Open(String team, Ticket ticket, int rank, boolean first) {}

  private final SimulatedFleet fleet;
  private final Random random;
  private final FairnessRecord record = new FairnessRecord();
  private final double[] weights = new double[TEAMS];
  private final int[] onlyRouter = new int[TEAMS];
  private final double requestsPerMs;
  private final List<Heat> heats;
  private final PriorityQueue<Return> returns =
      new PriorityQueue<>((a, b) -> Long.compare(a.atMs, b.atMs));
  private final Map<Ticket, Open> open = new HashMap<>();
  private final Map<Integer, Integer> seen = new HashMap<>();

  /**
   * Creates a load.
   *
   * @param fleet the fleet
   * @param seed seed of all draws
   * @param requestsPerMs requests per millisecond without heats
   * @param heats times in which teams send more or less
   */
  SkewedTeams(SimulatedFleet fleet, long seed, double requestsPerMs, List<Heat> heats) {
    this.fleet = fleet;
    this.requestsPerMs = requestsPerMs;
    this.heats = heats;
    random = new Random(seed);
    double sum = 0;
    for (int rank = 0; rank < TEAMS; rank++) {
      weights[rank] = Math.pow(rank + 1, -SKEW);
      sum += weights[rank];
    }
    for (int rank = 0; rank < TEAMS; rank++) {
      weights[rank] /= sum;
      boolean sticks = random.nextDouble() < ONE_ROUTER_RATIO;
      onlyRouter[rank] = sticks ? random.nextInt(fleet.routerCount()) : -1;
    }
  }

  /** Runs for some time and returns what the teams got. */
  FairnessRecord run(int ms) {
    for (int i = 0; i < ms; i++) {
      submitNew(i);
      submitReturns();
      fleet.step();
      observe();
    }
    return record;
  }

  private void submitNew(int ms) {
    for (int rank = 0; rank < TEAMS; rank++) {
      double perMs = requestsPerMs * weights[rank];
      for (Heat heat : heats) {
        boolean hot = rank >= heat.firstRank && rank <= heat.lastRank;
        perMs *= hot && ms >= heat.fromMs && ms < heat.toMs ? heat.factor : 1;
      }
      for (double left = perMs; random.nextDouble() < left; left--) {
        Kind kind = draw();
        submit(rank, promptOf(rank, kind), kind.objectiveMs, true);
      }
    }
  }

  private Kind draw() {
    double left = random.nextDouble();
    for (Kind kind : Kind.values()) {
      left -= kind.ratio;
      if (left < 0) {
        return kind;
      }
    }
    return Kind.SMALL;
  }

  private PromptProfile promptOf(int rank, Kind kind) {
    int sessions = (int) Math.max(1, SESSIONS * weights[rank]);
    String session = kind + "-" + rank + "-" + random.nextInt(sessions);
    long own =
        (long)
            Math.min(6 * kind.meanOwnTokens, kind.meanOwnTokens * -Math.log(random.nextDouble()));
    PromptProfile prompt =
        SimulatedFleet.prompt(
            session, kind.sharedTokens, Math.max(20, own), "u" + random.nextLong());
    return new PromptProfile(prompt.promptTokens(), kind.outputTokens, prompt.parts());
  }

  private void submitReturns() {
    while (!returns.isEmpty() && returns.peek().atMs <= fleet.nowMs()) {
      Return back = returns.poll();
      submit(back.rank, back.prompt, back.objectiveMs, false);
    }
  }

  private void submit(int rank, PromptProfile prompt, int objectiveMs, boolean first) {
    String team = "team-" + rank;
    int index = onlyRouter[rank] >= 0 ? onlyRouter[rank] : random.nextInt(fleet.routerCount());
    SimulatedFleet.Router router = fleet.router(index);
    Ticket ticket = router.submit(team, prompt, objectiveMs);
    open.put(ticket, new Open(team, ticket, rank, first));
    record.recordAsked(team, prompt.costTokens(), fleet.nowMs());
  }

  /** Records the decisions of the last millisecond; a request begins when it is granted. */
  private void observe() {
    for (int i = 0; i < fleet.routerCount(); i++) {
      List<Decision> decisions = fleet.router(i).decisions;
      List<Decision> latest =
          new ArrayList<>(decisions.subList(seen.getOrDefault(i, 0), decisions.size()));
      seen.put(i, decisions.size());
      latest.forEach(this::observe);
    }
  }

  private void observe(Decision decision) {
    Open request = open.get(decision.ticket());
    if (request == null || decision instanceof Decision.Waiting) {
      return;
    }
    open.remove(decision.ticket());
    long now = fleet.nowMs();
    if (decision instanceof Decision.Granted) {
      record.recordBegun(request.team, request.ticket.prompt().costTokens(), now);
      if (now * SimulatedFleet.MS > request.ticket.objectiveNanos()) {
        record.recordWaited(request.team, now);
      }
    } else if (decision instanceof Decision.Refused refused) {
      record.recordWaited(request.team, now);
      if (request.first) {
        long objectiveMs =
            (request.ticket.objectiveNanos() - request.ticket.arrivedNanos()) / SimulatedFleet.MS;
        returns.add(
            new Return(
                now + refused.retryAfter().toMillis(),
                request.rank,
                request.ticket.prompt(),
                (int) objectiveMs));
      }
    }
  }
}
