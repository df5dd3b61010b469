package org.dandelionbeam.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.dandelionbeam.base.FailureDomain;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class FleetStateTest {
  private static final long MS = 1_000_000L;
  private static final FailureDomain DOMAIN = FailureDomain.of("a");
  private static final InstanceId ID = InstanceId.of("one");

  private static FleetMembers.Member member(String name, long incarnation) {
    Endpoint endpoint = new Endpoint("10.0.0." + name, 80);
    return new FleetMembers.Member(RouterName.of(name), endpoint, endpoint, DOMAIN, incarnation);
  }

  @Test
  public void onlyRoutersThatReportedLatelyAreListedForCallers() {
    FleetMembers members = FleetMembers.of(member("1", 1));
    members.listed(List.of(member("1", 1), member("2", 1), member("3", 1)));
    members.recordReport(member("2", 1), true, 0);
    members.recordReport(member("3", 1), false, 0);

    assertEquals(
        members.servingAddresses(true, 500 * MS),
        List.of(new Endpoint("10.0.0.1", 80), new Endpoint("10.0.0.2", 80)));
    assertEquals(members.servingAddresses(true, 2_000 * MS), List.of(new Endpoint("10.0.0.1", 80)));
    assertEquals(members.countLimitSharers(2_000 * MS), 3);
  }

  @Test
  public void reportOfAnEarlierStartDoesNotCount() {
    FleetMembers members = FleetMembers.of(member("1", 1));
    members.recordReport(member("2", 5), true, 0);
    members.recordReport(member("2", 4), false, MS);

    assertEquals(members.servingAddresses(false, 2 * MS).size(), 1);
  }

  @Test
  public void routerWithoutAListingAssumesAFleetOfThree() {
    assertEquals(FleetMembers.of(member("1", 1)).countLimitSharers(0), 3);
  }

  @Test
  public void singleBrokenExchangeDoesNotCauseAvoidance() {
    UpstreamHealth health = UpstreamHealth.create();
    health.recordBrokenExchange(ID, 0);
    assertFalse(health.isAvoided(ID, MS));

    health.recordOutput(ID);
    health.recordBrokenExchange(ID, 2 * MS);
    assertFalse(health.isAvoided(ID, 3 * MS));

    health.recordBrokenExchange(ID, 4 * MS);
    assertTrue(health.isAvoided(ID, 5 * MS));
    assertFalse(health.isAvoided(ID, 1_000 * MS));
  }

  @Test
  public void refusedConnectionIsEnoughToAvoidAnUpstream() {
    UpstreamHealth health = UpstreamHealth.create();
    health.recordUnreachable(ID, 0);

    assertTrue(health.isAvoided(ID, MS));
  }

  @Test
  public void loadOfASilentPeerExpires() {
    LoadTracker board = LoadTracker.create();
    board.add(4, new UpstreamLoad(1, 100, 100));
    board.replacePeerLoads(RouterName.of("2"), Map.of(4, new UpstreamLoad(2, 50, 60)), 0);

    assertEquals(board.total(4, 100 * MS), new UpstreamLoad(3, 150, 160));
    assertEquals(board.total(4, 900 * MS), new UpstreamLoad(1, 100, 100));
    board.subtract(4, new UpstreamLoad(1, 100, 100));
    assertEquals(board.localLoads(), Map.of());
  }

  @Test
  public void usageOfATeamDecaysAndSumsAllRouters() {
    TeamUsage usage = TeamUsage.create();
    TeamName team = TeamName.of("red");
    usage.recordUsage(team, 100, 0);
    usage.recordPeerUsage(RouterName.of("2"), Map.of("red".hashCode(), 40.0), 0);

    assertEquals(usage.usageOf(team, 0), 140.0, 0.01);
    assertEquals(usage.usageOf(team, 600 * MS), 70.0, 0.01);
    assertEquals(usage.usageOf(team, 2_400 * MS), 100.0 / 16, 0.01, "the peer is silent too long");
  }

  @Test
  public void watchStartsAtTheFirstPageAndLostHistoryCausesANewListing() {
    ListWatchStateMachine plan = ListWatchStateMachine.of(() -> 1.0);
    plan.recordPage(10, Optional.of("k"));
    assertEquals(plan.next(), new ListWatchStateMachine.Call.ListPage(Optional.of("k")));
    plan.recordPage(12, Optional.empty());
    assertEquals(plan.next(), new ListWatchStateMachine.Call.Watch(10));

    plan.recordWatch(15, true);
    assertEquals(plan.next(), new ListWatchStateMachine.Call.Watch(15));
    plan.recordHistoryLost();
    assertEquals(plan.next(), new ListWatchStateMachine.Call.ListPage(Optional.empty()));
  }

  @DataProvider
  public Object[][] failures() {
    return new Object[][] {{1, 100}, {2, 200}, {3, 400}, {4, 800}, {9, 800}};
  }

  @Test(dataProvider = "failures")
  public void backoffDoublesWhileTheStoreFails(int failures, int expectedMs) {
    ListWatchStateMachine plan = ListWatchStateMachine.of(() -> 1.0);
    Duration pause = Duration.ZERO;
    for (int i = 0; i < failures; i++) {
      pause = plan.recordFailure();
    }

    assertEquals(pause.toMillis(), expectedMs);
    assertTrue(plan.isFailing());
  }
}
