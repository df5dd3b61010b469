package org.dandelionbeam.daemon.bench;

import java.io.PrintStream;
import java.util.Optional;
import org.dandelionbeam.base.ModelId;
import org.dandelionbeam.base.NodeId;
import org.dandelionbeam.base.ServiceId;
import org.dandelionbeam.base.TeamId;
import org.dandelionbeam.dispatch.FairQueue;
import org.dandelionbeam.dispatch.QueuedTicket;
import org.dandelionbeam.dispatch.RemoteUsage;
import org.dandelionbeam.dispatch.Requirements;
import org.dandelionbeam.dispatch.TeamPolicy;
import org.dandelionbeam.dispatch.TicketKey;

/** Measures the time per ticket in a fair queue: offer, selection, start and finish. */
final class DecisionCost {
  private static final int[] TEAM_COUNTS = {10, 610, 6_100};
  private static final int ROUNDS = 300_000;
  private static final int WARM_UP_RUNS = 3;
  private static final int MAX_COST = 97;
  private static final NodeId ENTRY = NodeId.of("router-0");
  private static final ServiceId SERVICE = ServiceId.of(1);
  private static final Requirements REQUIREMENTS = Requirements.of(Optional.of(ModelId.of(1)));

  private DecisionCost() {}

  static void print(PrintStream out) {
    for (int i = 0; i < WARM_UP_RUNS; i++) {
      for (int teams : TEAM_COUNTS) {
        nanosPerTicket(teams);
      }
    }
    for (int teams : TEAM_COUNTS) {
      out.printf("%d backlogged teams: %.0f ns a ticket%n", teams, nanosPerTicket(teams));
    }
  }

  private static double nanosPerTicket(int teams) {
    FairQueue queue = FairQueue.of(SERVICE, new EqualWeights(), RemoteUsage.none());
    long number = 0;
    for (int team = 1; team <= teams; team++) {
      queue.offer(ticket(team, number++));
      queue.offer(ticket(team, number++));
    }
    long start = System.nanoTime();
    for (int round = 0; round < ROUNDS; round++) {
      QueuedTicket head = queue.head(requirements -> true).orElseThrow();
      double cost = 1 + round % MAX_COST;
      queue.start(head, MAX_COST);
      queue.finish(head.team(), MAX_COST, cost);
      queue.offer(ticket(head.team().number(), number++));
    }
    return (double) (System.nanoTime() - start) / ROUNDS;
  }

  private static QueuedTicket ticket(int team, long number) {
    TicketKey key = TicketKey.of(ENTRY, number);
    return new QueuedTicket(
        key, TeamId.of(team), SERVICE, 0, REQUIREMENTS, 0, 0, number, Long.MAX_VALUE);
  }

  private record EqualWeights() implements TeamPolicy {
    @Override
    public double weight(TeamId team) {
      return 1;
    }

    @Override
    public int maxQueued(TeamId team) {
      return Integer.MAX_VALUE;
    }
  }
}
