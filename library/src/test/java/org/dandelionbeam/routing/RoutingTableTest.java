package org.dandelionbeam.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class RoutingTableTest {
  private static final ServiceName SERVICE = ServiceName.of("s");
  private static final RoutingTable TABLE =
      RoutingTable.builder(7)
          .route(route("short", "/a/"))
          .route(route("long", "/a/b/"))
          .team(TeamName.of("red"), List.of("key-1", "key-2"))
          .build();

  private static RouteRule route(String name, String prefix) {
    return RouteRule.builder(name).match("Host.example", prefix).target(SERVICE, 1).build();
  }

  @DataProvider
  public Object[][] requests() {
    return new Object[][] {
      {"host.example", "/a/x", "short"},
      {"host.example:8080", "/a/b/x", "long"},
      {"HOST.example", "/a/b", "short"},
      {"host.example", "/b/", ""},
      {"other.example", "/a/", ""},
    };
  }

  @Test(dataProvider = "requests")
  public void longestPrefixOfTheHostWins(String host, String path, String expected) {
    String found = TABLE.match(host, path).map(RouteRule::name).orElse("");

    assertEquals(found, expected);
  }

  @Test
  public void keysIdentifyTheirTeam() {
    assertEquals(TABLE.teamOf("key-2"), Optional.of(TeamName.of("red")));
    assertEquals(TABLE.teamOf("key-3"), Optional.empty());
    assertTrue(TABLE.keysRequired());
  }

  @Test
  public void olderConfigurationIsRejected() {
    FleetState state = new SimulatedFleet(1, 1, 1).router(0).state;

    assertTrue(state.accept(TABLE));
    assertFalse(state.accept(RoutingTable.builder(7).build()));
    assertFalse(state.accept(RoutingTable.builder(3).build()));
    assertEquals(state.table().orElseThrow().version(), 7);
  }

  @Test
  public void weightsSplitTheRequestsOfARoute() {
    RouteRule split =
        RouteRule.builder("split").target(SERVICE, 90).target(ServiceName.of("t"), 10).build();

    assertEquals(split.pickService(bound -> 89), SERVICE);
    assertEquals(split.pickService(bound -> 90), ServiceName.of("t"));
  }

  @DataProvider
  public Object[][] firstOutputTimeouts() {
    return new Object[][] {{300, 300, 2_400}, {600, 250, 2_400}, {100, 100, 2_000}};
  }

  @Test(dataProvider = "firstOutputTimeouts")
  public void firstOutputTimeoutFollowsFromTheObjectives(
      int objectiveMs, int pauseMs, int expectedMs) {
    RouteRule route =
        RouteRule.builder("r")
            .times(Duration.ofSeconds(5), Duration.ofMillis(objectiveMs))
            .pauseObjective(Duration.ofMillis(pauseMs))
            .target(SERVICE, 1)
            .build();

    assertEquals(route.firstOutputTimeout().toMillis(), expectedMs);
  }

  @DataProvider
  public Object[][] kinds() {
    return new Object[][] {
      {RouteKind.STREAMING, false, false},
      {RouteKind.STREAMING, true, true},
      {RouteKind.IDEMPOTENT, false, true},
      {RouteKind.NON_IDEMPOTENT, true, false},
    };
  }

  @Test(dataProvider = "kinds")
  public void kindDeterminesWhetherRequestsAreIdempotent(
      RouteKind kind, boolean resumable, boolean expected) {
    assertEquals(kind.isIdempotent(resumable), expected);
  }
}
