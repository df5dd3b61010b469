package org.dandelionbeam.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.dandelionbeam.base.ModelId;
import org.dandelionbeam.base.NodeId;
import org.dandelionbeam.base.ServiceId;
import org.dandelionbeam.base.TeamId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class FairQueueTest {
  private static final NodeId ENTRY = NodeId.of("entry");
  private static final ServiceId SERVICE = ServiceId.of(1);
  private static final Requirements PLAIN = Requirements.of(Optional.empty());
  private static final int MAX_QUEUED_PER_TEAM = 1_000;

  private final Map<TeamId, Double> remoteUsage = new HashMap<>();
  private final Map<TeamId, Double> weights = new HashMap<>();
  private long nextNumber;

  @DataProvider
  public Object[][] seedsAndHints() {
    return new Object[][] {{1L, 1.0}, {2L, 1.0}, {3L, 10.0}, {4L, 10.0}, {5L, 0.1}, {6L, 0.1}};
  }

  @Test(dataProvider = "seedsAndHints")
  public void gapOfBackloggedTeamsStaysWithinTheCostInFlight(long seed, double hintFactor) {
    Random random = new Random(seed);
    FairQueue queue = queue();
    weights.put(TeamId.of(3), 2.0);
    double[] usage = new double[4];
    int inFlight = 8;
    double maxCost = 100;
    for (int step = 0; step < 4_000; step++) {
      for (int team = 1; team <= usage.length; team++) {
        while (queue.waiting(TeamId.of(team)) < inFlight + 1) {
          queue.offer(ticket(team, PLAIN, step));
        }
      }
      double[] charged = new double[inFlight];
      double[] costs = new double[inFlight];
      TeamId[] teams = new TeamId[inFlight];
      for (int i = 0; i < inFlight; i++) {
        QueuedTicket head = queue.head(requirements -> true).orElseThrow();
        costs[i] = 1 + random.nextDouble() * (maxCost - 1);
        charged[i] = costs[i] * (random.nextBoolean() ? hintFactor : 1);
        teams[i] = head.team();
        queue.start(head, charged[i]);
      }
      for (int i = 0; i < inFlight; i++) {
        queue.finish(teams[i], charged[i], costs[i]);
        int index = teams[i].number() - 1;
        usage[index] += costs[i] / weights.getOrDefault(teams[i], 1.0);
      }
    }
    double least = Double.MAX_VALUE;
    double most = 0;
    for (double value : usage) {
      least = Math.min(least, value);
      most = Math.max(most, value);
    }
    assertTrue(most - least <= (inFlight + 1) * maxCost, "gap " + (most - least));
  }

  @Test
  public void teamThatReturnsFromIdleHasNeitherCreditNorDebt() {
    FairQueue queue = queue();
    serve(queue, 1, 1_000);
    queue.offer(ticket(1, PLAIN, 0));
    queue.offer(ticket(1, PLAIN, 0));
    serveHead(queue, 10);
    queue.offer(ticket(3, PLAIN, 0));
    queue.offer(ticket(3, PLAIN, 0));
    queue.offer(ticket(3, PLAIN, 0));
    int[] served = new int[4];
    for (int i = 0; i < 2; i++) {
      served[serveHead(queue, 10).team().number()]++;
    }
    assertEquals(served[3], 1);
    assertEquals(served[1], 1);
  }

  @Test
  public void usageAtOtherOwnersCountsOnceAndMayBeRebuilt() {
    FairQueue queue = queue();
    for (int i = 0; i < 6; i++) {
      queue.offer(ticket(1, PLAIN, i));
      queue.offer(ticket(3, PLAIN, i));
    }
    remoteUsage.put(TeamId.of(1), 25.0);
    assertEquals(serveHead(queue, 10).team(), TeamId.of(3));
    remoteUsage.put(TeamId.of(1), 0.0);
    assertEquals(serveHead(queue, 10).team(), TeamId.of(3));
    remoteUsage.put(TeamId.of(1), 25.0);
    assertEquals(serveHead(queue, 10).team(), TeamId.of(3));
    assertEquals(serveHead(queue, 10).team(), TeamId.of(1));
  }

  @Test
  public void ticketThatNoFreeUpstreamServesBlocksNoOtherTicket() {
    FairQueue queue = queue();
    Requirements other = new Requirements(Optional.of(ModelId.of(7)), Set.of());
    QueuedTicket blocked = ticket(1, other, 0);
    queue.offer(blocked);
    QueuedTicket sameTeam = ticket(1, PLAIN, 1);
    queue.offer(sameTeam);
    queue.offer(ticket(3, PLAIN, 2));
    assertEquals(queue.head(PLAIN::equals).orElseThrow(), sameTeam);
    assertEquals(queue.head(other::equals).orElseThrow(), blocked);
  }

  @Test
  public void ticketsOfOneTeamAreServedInOrderOfArrival() {
    FairQueue queue = queue();
    Requirements model = Requirements.of(Optional.of(ModelId.of(7)));
    for (int i = 0; i < 10; i++) {
      queue.offer(ticket(1, i % 2 == 0 ? PLAIN : model, i));
    }
    for (int i = 0; i < 10; i++) {
      assertEquals(serveHead(queue, 1).queuedNanos(), i);
    }
  }

  @Test
  public void floodOfOneTeamFillsOnlyItsOwnQueue() {
    FairQueue queue = queue();
    for (int i = 0; i < MAX_QUEUED_PER_TEAM; i++) {
      assertTrue(queue.offer(ticket(1, PLAIN, i)));
    }
    assertFalse(queue.offer(ticket(1, PLAIN, MAX_QUEUED_PER_TEAM)));
    assertTrue(queue.offer(ticket(3, PLAIN, MAX_QUEUED_PER_TEAM)));
    serveHead(queue, 10);
    assertEquals(serveHead(queue, 10).team(), TeamId.of(3));
  }

  @Test
  public void cancelledAndExpiredTicketsLeaveAtOnceAndCostNothing() {
    FairQueue queue = queue();
    QueuedTicket first = ticket(1, PLAIN, 0);
    QueuedTicket second = ticket(1, PLAIN, 1);
    queue.offer(first);
    queue.offer(first);
    queue.offer(second);
    assertEquals(queue.size(), 2);
    assertTrue(queue.remove(first.key()).isPresent());
    assertTrue(queue.remove(first.key()).isEmpty());
    assertTrue(queue.expire(second.deadlineNanos() - 1).isEmpty());
    assertEquals(queue.expire(second.deadlineNanos()).size(), 1);
    assertEquals(queue.size(), 0);
    assertTrue(queue.head(requirements -> true).isEmpty());
  }

  @Test
  public void idleTeamsAreForgottenOnceTheQueueServesAtAHigherCounter() {
    FairQueue queue = queue();
    for (int team = 10; team < 1_010; team++) {
      serve(queue, team, 1);
    }
    for (int i = 0; i < 600; i++) {
      serve(queue, 1, 1);
    }
    assertTrue(queue.teams() < 10, "remembers " + queue.teams());
  }

  private FairQueue queue() {
    remoteUsage.clear();
    weights.clear();
    TeamPolicy policy =
        new TeamPolicy() {
          @Override
          public double weight(TeamId team) {
            return weights.getOrDefault(team, 1.0);
          }

          @Override
          public int maxQueued(TeamId team) {
            return MAX_QUEUED_PER_TEAM;
          }
        };
    return FairQueue.of(SERVICE, policy, (usage, team) -> remoteUsage.getOrDefault(team, 0.0));
  }

  private QueuedTicket ticket(int team, Requirements requirements, long now) {
    TicketKey key = TicketKey.of(ENTRY, nextNumber++);
    return new QueuedTicket(
        key, TeamId.of(team), SERVICE, 0, requirements, 0, 0, now, now + 1_000_000);
  }

  private void serve(FairQueue queue, int team, double cost) {
    queue.offer(ticket(team, PLAIN, 0));
    serveHead(queue, cost);
  }

  private QueuedTicket serveHead(FairQueue queue, double cost) {
    QueuedTicket head = queue.head(requirements -> true).orElseThrow();
    queue.start(head, cost);
    queue.finish(head.team(), cost, cost);
    return head;
  }
}
