package org.dandelionbeam.membership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;
import org.dandelionbeam.base.FailureDomain;
import org.dandelionbeam.base.NodeId;
import org.dandelionbeam.base.UpstreamId;
import org.dandelionbeam.config.Upstream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Reaction of simulated fleets to killed, paused and disconnected nodes, and to an unavailable
 * platform.
 */
public class MembershipFleetTest {
  private static final Duration TARGET = Duration.ofSeconds(3);
  private static final Duration MINUTE = Duration.ofMinutes(1);
  private static final NodeId FIRST = NodeId.of("n0");

  private static MembershipFleet startFleet(long seed, int size) {
    MembershipFleet fleet = MembershipFleet.settled(seed, size, (int) (size * 2.2));
    assertTrue(
        fleet.runUntil(MembershipFleetTest::areAllSlotsOwned, Duration.ofSeconds(10)).isPresent());
    fleet.run(Duration.ofSeconds(5));
    return fleet;
  }

  private static boolean areAllSlotsOwned(MembershipFleet fleet) {
    return fleet.configuration.upstreams().stream()
        .allMatch(upstream -> usableWarm(fleet, upstream) == upstream.window());
  }

  private static int usableWarm(MembershipFleet fleet, Upstream upstream) {
    return ownerOf(fleet, upstream.id())
        .map(owner -> owner.view().slots(upstream.id(), fleet.now).warm())
        .orElse(0);
  }

  private static Optional<MembershipFleet.Node> ownerOf(MembershipFleet fleet, UpstreamId id) {
    return fleet.nodes.values().stream()
        .filter(node -> node.view().slots(id, fleet.now).warm() > 0)
        .findFirst();
  }

  @DataProvider
  public Object[][] sizes() {
    return new Object[][] {{8, 1}, {8, 2}, {8, 3}, {32, 1}, {32, 2}};
  }

  @Test(dataProvider = "sizes")
  public void upstreamsOfAKilledNodeAreOwnedAgainInTime(int size, long seed) {
    MembershipFleet fleet = startFleet(seed, size);
    List<UpstreamId> owned =
        fleet.configuration.upstreams().stream()
            .map(Upstream::id)
            .filter(id -> fleet.nodes.get(FIRST).view().ownerOf(id).equals(Optional.of(FIRST)))
            .toList();
    assertFalse(owned.isEmpty());
    fleet.kill(FIRST);
    Optional<Duration> taken =
        fleet.runUntil(now -> owned.stream().allMatch(id -> ownerOf(now, id).isPresent()), MINUTE);
    assertTrue(taken.orElse(MINUTE).compareTo(TARGET) <= 0, "taken " + taken);
  }

  @Test(dataProvider = "sizes")
  public void aLeavingDomainIsKnownEverywhereInTimeWithoutThePlatform(int size, long seed) {
    MembershipFleet fleet = startFleet(seed, size);
    fleet.platformUp = false;
    FailureDomain domain = FailureDomain.of("d1");
    fleet.nodes.get(FIRST).membership.markDomain(domain, true, fleet.now);
    Optional<Duration> left = fleet.runUntil(now -> isLeavingEverywhere(now, domain, true), MINUTE);
    assertTrue(left.orElse(MINUTE).compareTo(TARGET) <= 0, "left " + left);
    assertTrue(ownersAreOutside(fleet, domain));
    fleet.nodes.get(NodeId.of("n2")).membership.markDomain(domain, false, fleet.now);
    Optional<Duration> back =
        fleet.runUntil(now -> isLeavingEverywhere(now, domain, false), MINUTE);
    assertTrue(back.orElse(MINUTE).compareTo(TARGET) <= 0, "back " + back);
    fleet.platformUp = true;
    assertTrue(fleet.runUntil(now -> now.storedMarks.size() == 1, MINUTE).isPresent());
    assertFalse(fleet.storedMarks.get(0).leaving());
  }

  private static boolean isLeavingEverywhere(
      MembershipFleet fleet, FailureDomain domain, boolean leaving) {
    return fleet.nodes.values().stream()
        .allMatch(node -> node.view().shares().isLeaving(domain) == leaving);
  }

  private static boolean ownersAreOutside(MembershipFleet fleet, FailureDomain domain) {
    return fleet
        .runUntil(
            now ->
                now.nodes.values().stream()
                    .filter(node -> node.member.domain().equals(domain))
                    .allMatch(node -> ownsNothing(now, node)),
            TARGET)
        .isPresent();
  }

  private static boolean ownsNothing(MembershipFleet fleet, MembershipFleet.Node node) {
    return fleet.configuration.upstreams().stream()
        .allMatch(upstream -> node.view().slots(upstream.id(), fleet.now).warm() == 0);
  }

  @Test
  public void nodesThatStartTogetherAgreeThroughLostAnswers() {
    MembershipFleet fleet = new MembershipFleet(7, 10);
    fleet.answersLost = true;
    IntStream.range(0, 8).forEach(fleet::start);
    Optional<Duration> agreed =
        fleet.runUntil(
            now ->
                now.stored.members().size() == 8 && now.stored.isSettled() && areAllSlotsOwned(now),
            Duration.ofMinutes(2));
    assertTrue(agreed.isPresent());
    int callsPerNode = fleet.platformCalls / 8;
    assertTrue(callsPerNode < 60, "calls per node " + callsPerNode);
  }

  @Test
  public void aNodeThatStartsEmptyDuringAnOutageTakesTheRosterFromAPeer() {
    MembershipFleet fleet = startFleet(3, 8);
    fleet.platformUp = false;
    fleet.kill(FIRST);
    MembershipFleet.Node restarted = fleet.start(0);
    fleet.at(
        fleet.now,
        () ->
            fleet
                .nodes
                .get(NodeId.of("n3"))
                .membership
                .receive(FIRST, new RosterRequest(0), 0)
                .forEach(
                    out ->
                        restarted.membership.receive(NodeId.of("n3"), out.message(), fleet.now)));
    fleet.run(Duration.ofSeconds(5));
    assertEquals(restarted.view().roster().revision(), fleet.stored.revision());
    assertTrue(
        fleet.configuration.upstreams().stream()
            .allMatch(
                upstream ->
                    restarted.view().slots(upstream.id(), fleet.now).cold() == 0
                        || restarted.membership.roster().member(FIRST).isPresent()));
    fleet.platformUp = true;
    fleet.run(Duration.ofSeconds(30));
    assertEquals(
        fleet.stored.member(FIRST).orElseThrow().incarnation(), restarted.member.incarnation());
  }

  @Test
  public void aNodeThatIsCutOffDeclaresNobodyDead() {
    MembershipFleet fleet = startFleet(4, 32);
    fleet.isCut = (from, to) -> from.equals(FIRST) != to.equals(FIRST);
    fleet.run(Duration.ofSeconds(40));
    assertTrue(fleet.nodes.get(FIRST).membership.isCutOff());
    long cutOff = fleet.nodes.values().stream().filter(node -> node.membership.isCutOff()).count();
    assertEquals(cutOff, 1);
    fleet.isCut = (from, to) -> false;
    Optional<Duration> healed =
        fleet.runUntil(
            now -> now.nodes.values().stream().allMatch(node -> node.view().alive().size() == 32),
            MINUTE);
    assertTrue(healed.isPresent());
    assertEquals(fleet.stored.members().size(), 32);
  }

  @Test
  public void aLostDomainDoesNotSpreadSuspicionOfTheRest() {
    MembershipFleet fleet = startFleet(5, 24);
    FailureDomain lost = FailureDomain.of("d1");
    List<NodeId> gone =
        fleet.nodes.values().stream()
            .filter(node -> node.member.domain().equals(lost))
            .map(node -> node.member.id())
            .toList();
    gone.forEach(fleet::kill);
    fleet.run(Duration.ofSeconds(60));
    fleet.nodes.values().forEach(node -> assertEquals(node.view().alive().size(), 16));
  }

  @Test
  public void aPausedNodeIsNotRemovedAndSuspectsNobodyAfterwards() {
    MembershipFleet fleet = startFleet(6, 8);
    MembershipFleet.Node paused = fleet.nodes.get(FIRST);
    paused.pausedUntil = fleet.now + Duration.ofSeconds(20).toNanos();
    fleet.run(Duration.ofSeconds(20));
    assertTrue(ownsNothing(fleet, paused) || fleet.now >= paused.pausedUntil);
    Optional<Duration> healed =
        fleet.runUntil(
            now ->
                areAllSlotsOwned(now)
                    && now.nodes.values().stream()
                        .allMatch(node -> node.view().alive().size() == 8),
            MINUTE);
    assertTrue(healed.isPresent());
    assertEquals(fleet.stored.members().size(), 8);
  }

  @Test
  public void aNodeWhoseVmIsGoneIsRemovedAndItsSlotsMove() {
    MembershipFleet fleet = startFleet(8, 8);
    fleet.kill(FIRST);
    fleet.vms = Map.of("127.0.0.1", VmState.LIVE);
    fleet.run(Duration.ofSeconds(40));
    assertEquals(fleet.stored.members().size(), 8);
    fleet.vms = Map.of("127.0.0.1", VmState.GONE);
    Optional<Duration> removed =
        fleet.runUntil(
            now ->
                now.stored.members().size() == 7 && now.stored.isSettled() && areAllSlotsOwned(now),
            Duration.ofMinutes(2));
    assertTrue(removed.isPresent());
  }

  @DataProvider
  public Object[][] listedStates() {
    return new Object[][] {
      {VmState.LIVE, true, 1}, {VmState.LEAVING, false, 0}, {VmState.GONE, false, 1}
    };
  }

  /**
   * All nodes and upstreams of this fleet share one host, whose VM the platform's list shows in the
   * given state.
   */
  @Test(dataProvider = "listedStates")
  public void theListKeepsNewWorkAwayAndRemovesNoNodeThatAnswers(
      VmState state, boolean usable, int owners) {
    MembershipFleet fleet = startFleet(10, 8);
    fleet.vms = Map.of("127.0.0.1", state);
    fleet.run(Duration.ofSeconds(15));
    MembershipView view = fleet.nodes.get(FIRST).view();
    Upstream upstream = fleet.configuration.upstreams().get(0);
    assertEquals(view.acceptsNewWork(upstream.id()), usable);
    assertEquals(view.usableMembers().isEmpty(), !usable);
    assertEquals(ownerOf(fleet, upstream.id()).stream().count(), owners);
    assertEquals(fleet.stored.members().size(), 8);
  }

  @Test
  public void aNodeThatResignsHandsItsUpstreamsOver() {
    MembershipFleet fleet = startFleet(9, 8);
    MembershipFleet.Node leaving = fleet.nodes.get(FIRST);
    leaving.membership.resign(fleet.now);
    assertTrue(ownsNothing(fleet, leaving));
    Optional<Duration> resigned =
        fleet.runUntil(now -> leaving.membership.isResigned(), Duration.ofSeconds(15));
    assertTrue(resigned.isPresent());
    fleet.kill(FIRST);
    assertTrue(
        fleet
            .runUntil(
                now -> now.stored.isSettled() && areAllSlotsOwned(now), Duration.ofSeconds(40))
            .isPresent());
  }
}
