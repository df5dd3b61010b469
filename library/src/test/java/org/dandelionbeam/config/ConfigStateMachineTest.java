package org.dandelionbeam.config;

import static org.dandelionbeam.config.ConfigFleet.MILLI;
import static org.dandelionbeam.config.ConfigFleet.SECOND;
import static org.dandelionbeam.config.ConfigFleet.node;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.dandelionbeam.base.NodeId;
import org.dandelionbeam.base.Verdict;
import org.dandelionbeam.config.ApplyResult.Accepted;
import org.dandelionbeam.config.ApplyResult.Conflict;
import org.dandelionbeam.config.ApplyResult.Refused;
import org.dandelionbeam.config.ApplyResult.Superseded;
import org.dandelionbeam.config.ApplyResult.Unavailable;
import org.dandelionbeam.config.wiring.ConfigFiles;
import org.dandelionbeam.config.wiring.JsonConfigCodec;
import org.dandelionbeam.config.wiring.LargeConfig;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Applies changes in a simulated fleet with message loss, restarts and outages of the platform.
 *
 * <p>Guards against changes that do not reach every node in time, changes whose operator gets a
 * wrong outcome, and nodes that go back to an older revision.
 */
public class ConfigStateMachineTest {
  private static final long LIMIT_NANOS = 3 * SECOND;

  @DataProvider
  public Object[][] faults() {
    return new Object[][] {
      {"none", (Consumer<ConfigFleet>) fleet -> {}},
      {"lost messages", (Consumer<ConfigFleet>) fleet -> fleet.lossProbability = 0.3},
      {
        "repeated and reordered messages",
        (Consumer<ConfigFleet>) ConfigStateMachineTest::duplicateAndReorder
      },
      {"lagging watches", (Consumer<ConfigFleet>) fleet -> fleet.staleWatchProbability = 0.5},
      {"lost answers", (Consumer<ConfigFleet>) fleet -> fleet.lostAnswerProbability = 0.5},
      {
        "first watchers cut off from peers",
        (Consumer<ConfigFleet>) ConfigStateMachineTest::cutOneWay
      },
      {"all of them", (Consumer<ConfigFleet>) ConfigStateMachineTest::allFaults},
    };
  }

  @Test(dataProvider = "faults")
  public void changeIsInForceEverywhereWithinThreeSeconds(
      String name, Consumer<ConfigFleet> fault) {
    for (long seed = 1; seed <= 10; seed++) {
      ConfigFleet fleet = fleetWithFirstRevision(8, seed);
      fault.accept(fleet);
      fleet.apply((int) (seed % 8), "second", 1, tree(2));
      fleet.runUntilAllAt(2, LIMIT_NANOS);
      fleet.run(LIMIT_NANOS);
      assertEquals(fleet.answers.get("second"), new Accepted(2), name + ", seed " + seed);
    }
  }

  @Test
  public void secondOfTwoRacingOperatorsGetsAConflictWithTheDifference() {
    ConfigFleet fleet = fleetWithFirstRevision(8, 1);
    fleet.apply(1, "a", 1, tree(2));
    fleet.apply(2, "b", 1, tree(3));
    fleet.run(SECOND);
    assertEquals(fleet.answers.get("a"), new Accepted(2));
    List<String> diff = List.of("~ teams[team-0].weight: 2 -> 3");
    assertEquals(fleet.answers.get("b"), new Conflict(2, diff));
    fleet.apply(3, "c", 1, tree(4));
    assertTrue(fleet.answers.get("c") instanceof Conflict);
    assertEquals(fleet.platformRevision, 2);
  }

  /**
   * The platform takes the first write but its response is lost, and a second change is written
   * before the first one is retried.
   */
  @Test
  public void changeWithALostAnswerIsResolvedByTheChangeIdsInTheStoredValue() {
    ConfigFleet fleet = fleetWithFirstRevision(3, 1);
    fleet.lostAnswerProbability = 1;
    fleet.apply(0, "a", 1, tree(2));
    fleet.run(100 * MILLI);
    fleet.lostAnswerProbability = 0;
    fleet.apply(1, "b", 2, tree(3));
    fleet.run(SECOND);
    assertEquals(fleet.answers.get("b"), new Accepted(3));
    assertEquals(fleet.answers.get("a"), new Superseded(3));
  }

  @Test
  public void changeWithErrorsIsRefusedWithoutACallToThePlatform() {
    ConfigFleet fleet = fleetWithFirstRevision(1, 1);
    int calls = fleet.platformCalls;
    fleet.apply(0, "a", 1, tree(0));
    assertTrue(fleet.answers.get("a") instanceof Refused);
    assertEquals(fleet.platformCalls, calls);
  }

  @Test
  public void changeThatChangesNothingIsAcceptedWithoutAWrite() {
    ConfigFleet fleet = fleetWithFirstRevision(3, 1);
    fleet.apply(1, "a", 1, tree(1));
    assertEquals(fleet.answers.get("a"), new Accepted(1));
  }

  @Test
  public void changeDuringAnOutageIsAnsweredNotRunAndWhatIsInForceStays() {
    ConfigFleet fleet = fleetWithFirstRevision(4, 1);
    fleet.platformUnavailable = true;
    fleet.apply(0, "a", 1, tree(2));
    fleet.run(11 * SECOND);
    assertEquals(((Unavailable) fleet.answers.get("a")).verdict(), Verdict.NOT_RUN);
    fleet.start(node(2));
    assertTrue(fleet.runUntilAllAt(1, LIMIT_NANOS) <= 2 * SECOND);
    fleet.run(60 * SECOND);
    fleet.platformUnavailable = false;
    fleet.apply(0, "b", 1, tree(2));
    fleet.runUntilAllAt(2, LIMIT_NANOS);
  }

  @Test
  public void othersWatchWhenTheWatchersLoseThePlatform() {
    ConfigFleet fleet = fleetWithFirstRevision(8, 1);
    fleet.platformCallers.clear();
    fleet.run(5 * SECOND);
    assertEquals(fleet.platformCallers.size(), 3);
    Set<NodeId> watchers = Set.copyOf(fleet.platformCallers);
    fleet.unavailableFor = watchers::contains;
    fleet.run(5 * SECOND);
    fleet.overwritePlatformValue(nextValue(fleet, 0, 2));
    fleet.runUntilAllAt(2, 5 * SECOND);
  }

  @Test
  public void watchersMoveWithTheRevision() {
    ConfigFleet fleet = fleetWithFirstRevision(8, 1);
    fleet.platformCallers.clear();
    for (int i = 2; i < 30; i++) {
      fleet.overwritePlatformValue(nextValue(fleet, 0, i));
      fleet.runUntilAllAt(i, LIMIT_NANOS);
      fleet.run(SECOND);
    }
    assertEquals(fleet.platformCallers.size(), 8);
  }

  @Test
  public void outageCausesFewCallsAndItsEndIsDetected() {
    ConfigFleet fleet = fleetWithFirstRevision(32, 1);
    fleet.platformUnavailable = true;
    fleet.run(120 * SECOND);
    int calls = fleet.platformCalls;
    fleet.run(60 * SECOND);
    assertTrue(fleet.platformCalls - calls < 60 * 6, "calls " + (fleet.platformCalls - calls));
    fleet.platformUnavailable = false;
    fleet.overwritePlatformValue(nextValue(fleet, 0, 2));
    fleet.runUntilAllAt(2, 20 * SECOND);
  }

  @Test
  public void valueWithErrorsIsRefusedAndTheLastGoodOneStaysUntilItIsReplaced() {
    ConfigFleet fleet = fleetWithFirstRevision(8, 1);
    fleet.overwritePlatformValue("{\"format\":9}".getBytes(StandardCharsets.UTF_8));
    fleet.run(5 * SECOND);
    assertEquals(fleet.inForce.values().stream().distinct().toList(), List.of(1L));
    fleet.start(node(5));
    fleet.runUntilAllAt(1, LIMIT_NANOS);
    int watcher = firstThatRefused(fleet);
    assertEquals(fleet.stateMachine(watcher).status(fleet.now).refusedRevision(), 2);
    assertEquals(
        fleet.stateMachine(watcher).onReadCompleted(2, fleet.platformValue, fleet.now), List.of());
    fleet.apply(watcher, "replacement", 2, tree(7));
    fleet.runUntilAllAt(3, LIMIT_NANOS);
    assertEquals(fleet.stateMachine(watcher).status(fleet.now).refusedRevision(), 0);
  }

  /**
   * Node 3 misses a change; then node 0 restarts and reaches only node 3 and the platform, which
   * has the newer revision.
   */
  @Test
  public void nodeThatRestartsEmptyDoesNotAdoptAnOlderRevisionOfALaggingPeer() {
    ConfigFleet fleet = fleetWithFirstRevision(4, 1);
    fleet.isCut = (from, to) -> to.equals(node(3)) || from.equals(node(3));
    fleet.platformUnavailable = false;
    fleet.apply(0, "a", 1, tree(2));
    fleet.run(SECOND);
    fleet.isCut = (from, to) -> !from.equals(node(3)) && !to.equals(node(3));
    fleet.start(node(0));
    fleet.run(5 * SECOND);
    assertEquals((long) fleet.inForce.get(node(0)), 2);
  }

  /**
   * Node 0 starts without the platform and without peers, one of which lags, and must not adopt the
   * first revision that it is sent.
   */
  @Test
  public void nodeThatSeesItsPeersLateAdoptsTheirNewestRevision() {
    for (long seed = 1; seed <= 20; seed++) {
      ConfigFleet fleet = fleetWithFirstRevision(4, seed);
      fleet.isCut = (from, to) -> to.equals(node(3)) || from.equals(node(3));
      fleet.unavailableFor = node(3)::equals;
      fleet.apply(1, "a", 1, tree(2));
      fleet.run(SECOND);
      fleet.platformUnavailable = true;
      fleet.start(node(0));
      fleet.stateMachine(0).updateMembers(List.of(node(0)));
      fleet.isCut = (from, to) -> true;
      fleet.run(10 * SECOND);
      fleet.isCut = (from, to) -> !from.equals(node(0)) && !to.equals(node(0));
      fleet.stateMachine(0).updateMembers(List.of(node(0), node(1), node(2), node(3)));
      fleet.runUntilAnyRevision(0, LIMIT_NANOS);
      assertEquals((long) fleet.inForce.get(node(0)), 2, "seed " + seed);
    }
  }

  @Test
  public void updateOlderThanARevisionInForceOnAPeerIsIgnored() {
    ConfigFleet fleet = fleetWithFirstRevision(1, 1);
    byte[] second = nextValue(fleet, 0, 2);
    NodeId peer = node(7);
    fleet.platformUnavailable = true;
    fleet.handle(
        0,
        machine ->
            machine.onDigest(
                peer, new ConfigDigest(9, 9, 0, new RolloutTotal(9, 0, List.of(), 0)), fleet.now));
    ConfigUpdate older = new ConfigUpdate(5, second, List.of());
    fleet.handle(0, machine -> machine.onUpdate(peer, older, fleet.now));
    fleet.handle(0, machine -> machine.onWatchCompleted(6, second, fleet.now));
    fleet.handle(0, machine -> machine.onReadCompleted(7, second, fleet.now));
    assertEquals((long) fleet.inForce.get(node(0)), 1);
    fleet.handle(0, machine -> machine.onWatchCompleted(9, second, fleet.now));
    assertEquals((long) fleet.inForce.get(node(0)), 9);
  }

  @Test
  public void statusListsTheNodesBehindOrShowsThatTheTotalIsOld() {
    ConfigFleet fleet = fleetWithFirstRevision(8, 1);
    int old = 0;
    for (int cut = 0; cut < 8; cut++) {
      NodeId lost = node(cut);
      fleet.isCut = (from, to) -> to.equals(lost) || from.equals(lost);
      fleet.platformUnavailable = true;
      fleet.run(3 * SECOND);
      fleet.platformUnavailable = false;
      int other = (cut + 1) % 8;
      long next = fleet.platformRevision + 1;
      byte[] value = nextValue(fleet, other, 10 + cut);
      fleet.overwritePlatformValue(value);
      fleet.handle(other, machine -> machine.onWatchCompleted(next, value, fleet.now));
      fleet.platformUnavailable = true;
      fleet.run(5 * SECOND);
      RolloutTotal total = fleet.stateMachine(other).status(fleet.now).total();
      if (total.ageMillis() > 4_000) {
        old++;
      } else {
        assertEquals(total.revision(), next);
        assertTrue(total.names().contains(lost), "total " + total);
      }
      fleet.isCut = (from, to) -> false;
      fleet.platformUnavailable = false;
      fleet.runUntilAllAt(next, LIMIT_NANOS);
      fleet.run(4 * SECOND);
      total = fleet.stateMachine(other).status(fleet.now).total();
      assertEquals(List.of(total.revision(), total.behind()), List.of(next, 0));
    }
    // The total is old only while the node that computes it, the root of the tree, is cut off.
    assertEquals(old, 1);
  }

  @Test
  public void randomChangesRestartsAndFaultsNeverRevertANode() {
    for (long seed = 1; seed <= 30; seed++) {
      ConfigFleet fleet = fleetWithFirstRevision(8, seed);
      for (int step = 0; step < 60; step++) {
        injectRandomFault(fleet, step);
        fleet.run(fleet.random.nextLong(2 * SECOND));
      }
      duplicateAndReorder(fleet);
      fleet.lossProbability = 0;
      fleet.staleWatchProbability = 0;
      fleet.lostAnswerProbability = 0;
      fleet.platformUnavailable = false;
      fleet.isCut = (from, to) -> false;
      fleet.runUntilAllAt(fleet.platformRevision, 20 * SECOND);
      fleet.run(11 * SECOND);
    }
  }

  private static void injectRandomFault(ConfigFleet fleet, int step) {
    int i = fleet.random.nextInt(8);
    int j = fleet.random.nextInt(8);
    switch (fleet.random.nextInt(9)) {
      case 0 -> fleet.platformUnavailable = !fleet.platformUnavailable;
      case 1 -> fleet.start(node(i));
      case 2 -> fleet.isCut = (from, to) -> from.equals(node(i)) || to.equals(node(j));
      case 3 -> fleet.isCut = (from, to) -> false;
      case 4 -> fleet.lossProbability = fleet.random.nextDouble() * 0.5;
      case 5 -> fleet.staleWatchProbability = fleet.random.nextDouble();
      case 6 -> fleet.lostAnswerProbability = fleet.random.nextDouble();
      default -> {
        fleet.apply(i, "i" + step, fleet.stateMachine(i).revision(), tree(1 + step % 50));
        fleet.apply(j, "j" + step, fleet.stateMachine(j).revision(), tree(1 + step % 49));
      }
    }
  }

  private static void duplicateAndReorder(ConfigFleet fleet) {
    fleet.duplicateProbability = 0.5;
    fleet.maxExtraDelayNanos = 100 * MILLI;
  }

  private static void cutOneWay(ConfigFleet fleet) {
    NodeId first = node(0);
    fleet.isCut = (from, to) -> from.equals(first) && to.name().compareTo("n4") < 0;
  }

  private static void allFaults(ConfigFleet fleet) {
    duplicateAndReorder(fleet);
    fleet.lossProbability = 0.2;
    fleet.staleWatchProbability = 0.3;
    fleet.lostAnswerProbability = 0.3;
  }

  private static int firstThatRefused(ConfigFleet fleet) {
    for (int i = 0; i < 8; i++) {
      if (fleet.stateMachine(i).status(fleet.now).refusedRevision() > 0) {
        return i;
      }
    }
    throw new AssertionError("no node refused the value");
  }

  static ConfigFleet fleetWithFirstRevision(int size, long seed) {
    ConfigFleet fleet = new ConfigFleet(size, seed);
    fleet.run(2 * SECOND);
    fleet.apply(0, "first", 0, tree(1));
    fleet.runUntilAllAt(1, LIMIT_NANOS);
    fleet.run(3 * SECOND);
    return fleet;
  }

  /** Returns a configuration tree in which the first team has the given weight. */
  static ConfigNode tree(int weight) {
    String text =
        LargeConfig.yaml(3, 4, 1).replaceFirst("team-0, weight: \\d+", "team-0, weight: " + weight);
    return ConfigFiles.parse(List.of(new ConfigFiles.Text("base.yaml", text))).tree();
  }

  /** Returns the stored form of a change to what node {@code i} has in force. */
  private static byte[] nextValue(ConfigFleet fleet, int i, int weight) {
    ConfigCodec codec = new JsonConfigCodec();
    ConfigCodec.Prepared prepared =
        codec.prepare(fleet.stateMachine(i).stored(), tree(weight), "behind-" + weight);
    return ((ConfigCodec.Prepared.Ready) prepared).stored();
  }
}
