package org.dandelionbeam.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.dandelionbeam.base.ErrorCode;
import org.dandelionbeam.base.UpstreamId;
import org.dandelionbeam.dispatch.TestFleet.Answer;
import org.dandelionbeam.membership.Slots;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class DispatchNodeTest {

  @DataProvider
  public Object[][] seeds() {
    Object[][] seeds = new Object[40][];
    for (int i = 0; i < seeds.length; i++) {
      seeds[i] = new Object[] {(long) i};
    }
    return seeds;
  }

  @DataProvider
  public Object[][] limits() {
    return new Object[][] {
      {new Slots(100, 100), 1.0, false, 4},
      {new Slots(3, 1), 1.0, false, 3},
      {new Slots(100, 100), 0.5, false, 2},
      {new Slots(100, 100), 0.0, false, 0},
      {new Slots(100, 100), 0.1, false, 1},
      {new Slots(0, 0), 0.1, false, 0},
      {new Slots(100, 100), 1.0, true, 1},
      {new Slots(3, 0), 1.0, true, 0},
    };
  }

  @Test(dataProvider = "limits")
  public void inFlightStaysWithinWindowSlotsAndShare(
      Slots slots, double share, boolean cold, int expected) {
    TestFleet fleet = new TestFleet(1, 2, 1, 4);
    fleet.slots = slots;
    fleet.share = share;
    fleet.windows.get(UpstreamId.of(1)).cold = cold;
    fleet.run(2_000);
    for (int i = 0; i < 8; i++) {
      fleet.submit(i % 2, 1);
    }
    fleet.run(200);
    assertEquals(fleet.inFlight(1), expected);
  }

  @Test(dataProvider = "seeds")
  public void eachTicketHasOneAnswerAndSlotsComeBackUnderLossRepeatAndReorder(long seed) {
    TestFleet fleet = new TestFleet(seed, 3, 3, 2);
    Random random = new Random(seed);
    Map<Answer, Integer> open = new LinkedHashMap<>();
    for (int step = 0; step < 400; step++) {
      fleet.now += 5 * TestFleet.NANOS_PER_MILLI;
      int node = random.nextInt(3);
      if (step < 250 && random.nextInt(3) == 0) {
        open.put(fleet.submit(node, 1 + random.nextInt(4)), node);
      }
      completeSomeAttempts(fleet, random, open);
      deliverUnreliably(fleet, random);
      fleet.nodes.values().forEach(each -> each.tick(fleet.now));
      fleet.collect();
      for (int upstream = 1; upstream <= 3; upstream++) {
        assertTrue(fleet.inFlight(upstream) <= 2, "in flight at step " + step);
      }
    }
    for (int i = 0; i < 2_000 && !open.isEmpty(); i++) {
      fleet.run(20);
      completeSomeAttempts(fleet, random, open);
    }
    fleet.run(15_000);
    assertEquals(open.size(), 0);
    assertEquals(fleet.waitingAtOwners(), 0);
    for (int upstream = 1; upstream <= 3; upstream++) {
      assertEquals(fleet.inFlight(upstream), 0);
    }
  }

  @Test
  public void ticketMovesToTheOwnerThatHasRoom() {
    TestFleet fleet = new TestFleet(3, 2, 2, 1);
    Answer first = fleet.submit(0, 1);
    Answer second = fleet.submit(0, 1);
    fleet.deliverAll();
    assertNotNull(first.grant);
    assertNotNull(second.grant);
    assertFalse(first.grant.upstream().equals(second.grant.upstream()));
  }

  @Test
  public void freedSlotIsAdvertisedToEntriesWithWaitingTickets() {
    TestFleet fleet = new TestFleet(4, 2, 2, 1);
    List<Answer> answers = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      answers.add(fleet.submit(0, 1));
      fleet.deliverAll();
    }
    for (int done = 0; done < 6; done++) {
      Answer next = answers.stream().filter(answer -> answer.grant != null).findFirst().get();
      answers.remove(next);
      fleet.complete(0, next, 10);
      fleet.deliverAll();
      fleet.run(20);
      long granted = answers.stream().filter(answer -> answer.grant != null).count();
      assertEquals(granted, Math.min(2, answers.size()));
    }
  }

  @Test
  public void ticketOfALostOwnerIsAskedElsewhereAndItsSlotsAreFreed() {
    TestFleet fleet = new TestFleet(5, 3, 1, 1);
    Answer running = fleet.submit(0, 1);
    Answer remote = fleet.submit(1, 2);
    fleet.deliverAll();
    assertNotNull(running.grant);
    assertFalse(remote.isAnswered());
    fleet.dead.add(TestFleet.node(0));
    fleet.owners.put(UpstreamId.of(1), TestFleet.node(2));
    fleet.ownershipChanged();
    fleet.collect();
    fleet.deliverAll();
    assertNotNull(remote.grant);
  }

  @Test
  public void newOwnerCountsWhatEntriesHaveInFlight() {
    TestFleet fleet = new TestFleet(6, 3, 1, 1);
    Answer running = fleet.submit(1, 1);
    fleet.deliverAll();
    assertNotNull(running.grant);
    fleet.inheritedCold = true;
    fleet.owners.put(UpstreamId.of(1), TestFleet.node(2));
    fleet.ownershipChanged();
    Answer waiting = fleet.submit(2, 2);
    fleet.run(1_500);
    assertEquals(fleet.inFlight(1), 1);
    assertFalse(waiting.isAnswered());
    fleet.complete(1, running, 10);
    fleet.deliverAll();
    assertNotNull(waiting.grant);
  }

  @Test
  public void newOwnerCountsAGrantThatWasInTransitDuringTheTakeover() {
    TestFleet fleet = new TestFleet(13, 3, 2, 1);
    fleet.owners.put(UpstreamId.of(2), TestFleet.node(0));
    fleet.ownershipChanged();
    fleet.collect();
    fleet.deliverAll();
    Answer late = fleet.submit(1, 1);
    fleet.deliver(fleet.network.remove(0));
    fleet.inheritedCold = true;
    fleet.owners.put(UpstreamId.of(1), TestFleet.node(2));
    fleet.ownershipChanged();
    fleet.collect();
    fleet.deliverAll();
    assertEquals(late.grant.upstream(), UpstreamId.of(1));
    assertEquals(fleet.inFlight(1), 1);
  }

  @Test
  public void attemptsOfADeadEntryCountUntilTheirDeadlineWhileTheUpstreamIsCold() {
    TestFleet fleet = new TestFleet(7, 2, 1, 2);
    Answer running = fleet.submit(1, 1, Set.of(), 30_000);
    fleet.deliverAll();
    assertNotNull(running.grant);
    fleet.windows.get(UpstreamId.of(1)).cold = true;
    fleet.dead.add(TestFleet.node(1));
    fleet.ownershipChanged();
    fleet.run(20_000);
    assertEquals(fleet.inFlight(1), 1);
    fleet.run(20_000);
    assertEquals(fleet.inFlight(1), 0);
  }

  @Test
  public void attemptsOfADeadEntryAreFreedAtOnceWhileTheUpstreamIsWarm() {
    TestFleet fleet = new TestFleet(8, 2, 1, 2);
    fleet.submit(1, 1);
    fleet.deliverAll();
    fleet.dead.add(TestFleet.node(1));
    fleet.ownershipChanged();
    assertEquals(fleet.inFlight(1), 0);
  }

  @Test
  public void lateQueuedMessageLeavesTheRunningRequestCounted() {
    TestFleet fleet = new TestFleet(1, 2, 1, 1);
    Answer first = fleet.submit(0, 1);
    Answer second = fleet.submit(1, 2);
    fleet.deliver(fleet.network.remove(0));
    TestFleet.Packet late = fleet.network.remove(0);
    assertFalse(late.batch().queued().isEmpty());
    fleet.complete(0, first, 10);
    fleet.deliverAll();
    assertNotNull(second.grant);
    fleet.deliver(late);
    fleet.deliverAll();
    assertEquals(fleet.inFlight(1), 1);
  }

  @Test
  public void unusedGrantIsReclaimed() {
    TestFleet fleet = new TestFleet(9, 2, 1, 1);
    fleet.submit(1, 1);
    fleet.deliver(fleet.network.remove(0));
    fleet.network.clear();
    assertEquals(fleet.inFlight(1), 1);
    fleet.nodes.remove(TestFleet.node(1));
    fleet.run(5_500);
    assertEquals(fleet.inFlight(1), 0);
  }

  @Test
  public void drainingOwnerReturnsItsTicketsToTheirEntries() {
    TestFleet fleet = new TestFleet(10, 2, 2, 1);
    List<Answer> answers = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      answers.add(fleet.submit(0, 1));
      fleet.deliverAll();
    }
    fleet.nodes.get(TestFleet.node(0)).drain(fleet.now);
    fleet.collect();
    fleet.deliverAll();
    assertEquals(fleet.nodes.get(TestFleet.node(0)).owner().waiting(TestFleet.SERVICE), 0);
    answers.forEach(answer -> assertNull(answer.refusal));
    Answer second =
        answers.stream()
            .filter(a -> a.grant != null && a.grant.upstream().equals(UpstreamId.of(2)))
            .findFirst()
            .get();
    fleet.complete(0, second, 10);
    fleet.deliverAll();
    fleet.run(500);
    assertEquals(answers.stream().filter(answer -> answer.grant != null).count(), 3);
  }

  @Test
  public void refusalsAreImmediateAndNameARetryTime() {
    TestFleet fleet = new TestFleet(11, 1, 1, 1);
    List<Answer> answers = new ArrayList<>();
    for (int i = 0; i < 52; i++) {
      answers.add(fleet.submit(0, 1));
    }
    Answer full = answers.get(51);
    assertEquals(full.refusal.code(), ErrorCode.QUEUE_FULL);
    assertTrue(full.refusal.retryAfter().toMillis() >= 1_000);
    assertNull(fleet.submit(0, 2).refusal);
    Answer late = fleet.submit(0, 3, Set.of(), 0);
    assertEquals(late.refusal.code(), ErrorCode.DEADLINE_EXCEEDED);
    Answer avoiding = fleet.submit(0, 3, Set.of(UpstreamId.of(1)), 1_000);
    assertEquals(avoiding.refusal.code(), ErrorCode.NO_UPSTREAM);
    fleet.leaving.add(UpstreamId.of(1));
    assertEquals(fleet.submit(0, 4).refusal.code(), ErrorCode.NO_UPSTREAM);
    fleet.run(20);
    assertTrue(answers.stream().allMatch(Answer::isAnswered));
  }

  @Test
  public void cancelledTicketLeavesItsQueueAndAnExpiredOneIsRefused() {
    TestFleet fleet = new TestFleet(12, 2, 1, 1);
    fleet.submit(0, 1);
    Answer cancelled = fleet.submit(1, 1);
    Answer expiring = fleet.submit(1, 1, Set.of(), 400);
    fleet.deliverAll();
    fleet.cancel(1, cancelled);
    fleet.deliverAll();
    assertEquals(fleet.waitingAtOwners(), 1);
    fleet.run(500);
    assertEquals(fleet.waitingAtOwners(), 0);
    assertFalse(cancelled.isAnswered());
    assertEquals(expiring.refusal.code(), ErrorCode.DEADLINE_EXCEEDED);
  }

  /**
   * Guards against a cold upstream with more attempts in flight than its cold limit when its owner
   * changes while messages are delayed, but not lost.
   */
  @Test(dataProvider = "seeds")
  public void coldUpstreamGetsNoMoreThanItsColdLimitWhoeverOwnsIt(long seed) {
    TestFleet fleet = new TestFleet(seed, 3, 2, 4);
    fleet.inheritedCold = true;
    Random random = new Random(seed);
    Map<Answer, Integer> open = new LinkedHashMap<>();
    int[] before = new int[3];
    for (int step = 0; step < 600; step++) {
      fleet.now += 20 * TestFleet.NANOS_PER_MILLI;
      changeOwnerOrTemperature(fleet, random, open);
      int node = random.nextInt(3);
      open.put(fleet.submit(node, 1 + random.nextInt(4)), node);
      fleet.nodes.values().forEach(each -> each.tick(fleet.now));
      fleet.collect();
      deliverSomeMessages(fleet, random);
      for (int id = 1; id <= 2; id++) {
        int limit = fleet.windows.get(UpstreamId.of(id)).limit();
        int now = running(open, id) + usableGrantsInTransit(fleet, id);
        assertTrue(
            now <= Math.max(limit, before[id]),
            "upstream " + id + ": " + now + " in flight at step " + step);
      }
      completeSomeAttempts(fleet, random, open);
      for (int id = 1; id <= 2; id++) {
        before[id] = running(open, id) + usableGrantsInTransit(fleet, id);
      }
    }
  }

  private static void changeOwnerOrTemperature(
      TestFleet fleet, Random random, Map<Answer, Integer> open) {
    UpstreamId upstream = UpstreamId.of(1 + random.nextInt(2));
    if (random.nextInt(40) == 0) {
      fleet.owners.put(upstream, TestFleet.node(random.nextInt(3)));
      fleet.ownershipChanged();
      fleet.collect();
    }
    if (random.nextInt(20) == 0) {
      int id = upstream.number();
      boolean allKnown = fleet.inFlight(id) >= running(open, id) + usableGrantsInTransit(fleet, id);
      fleet.windows.get(upstream).cold = !allKnown || random.nextBoolean();
    }
  }

  /**
   * Counts the grants of an upstream in transit whose tickets still wait, so that they will be
   * used.
   */
  private static int usableGrantsInTransit(TestFleet fleet, int upstream) {
    return (int)
        fleet.network.stream()
            .flatMap(
                packet ->
                    packet.batch().granted().stream()
                        .filter(granted -> granted.upstream() == upstream)
                        .filter(granted -> fleet.nodes.get(packet.to()).entry().awaits(granted)))
            .map(DispatchMessage.Granted::number)
            .distinct()
            .count();
  }

  private static int running(Map<Answer, Integer> open, int upstream) {
    return (int)
        open.keySet().stream()
            .filter(answer -> answer.grant != null)
            .filter(answer -> answer.grant.upstream().equals(UpstreamId.of(upstream)))
            .count();
  }

  /** Delivers messages in order; each may be left for a later step. */
  private static void deliverSomeMessages(TestFleet fleet, Random random) {
    int count = fleet.network.size();
    for (int i = 0; i < count && random.nextInt(20) != 0; i++) {
      fleet.deliver(fleet.network.remove(0));
    }
  }

  private static void completeSomeAttempts(
      TestFleet fleet, Random random, Map<Answer, Integer> open) {
    for (Map.Entry<Answer, Integer> entry : List.copyOf(open.entrySet())) {
      Answer answer = entry.getKey();
      if (answer.refusal != null) {
        open.remove(answer);
      } else if (answer.grant != null && random.nextInt(5) == 0) {
        fleet.complete(entry.getValue(), answer, 1 + random.nextInt(20));
        open.remove(answer);
      }
    }
  }

  private static void deliverUnreliably(TestFleet fleet, Random random) {
    for (int i = 0; i < 6 && !fleet.network.isEmpty(); i++) {
      TestFleet.Packet packet = fleet.network.remove(random.nextInt(fleet.network.size()));
      int outcome = random.nextInt(10);
      if (outcome < 2) {
        continue;
      }
      fleet.deliver(packet);
      if (outcome < 4) {
        fleet.network.add(packet);
      }
    }
  }
}
