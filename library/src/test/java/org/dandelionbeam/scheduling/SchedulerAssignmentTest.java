package org.dandelionbeam.scheduling;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.dandelionbeam.base.FailureDomain;
import org.dandelionbeam.routing.Endpoint;
import org.dandelionbeam.routing.FleetMembers.Member;
import org.dandelionbeam.routing.RouterName;
import org.dandelionbeam.routing.SimulatedFleet;
import org.dandelionbeam.routing.UpstreamInstance;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Assignment of upstreams to schedulers. */
public class SchedulerAssignmentTest {
  private static final FailureDomain DOMAIN = FailureDomain.of("a");

  private static List<Member> members(int count) {
    List<Member> members = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      Endpoint endpoint = new Endpoint("10.0.0.1", 1 + i);
      double capacity = i % 4 == 0 ? 1.5 : 0.36;
      members.add(
          new Member(RouterName.of("router-" + i), endpoint, endpoint, DOMAIN, 1, capacity));
    }
    return members;
  }

  private static List<UpstreamInstance> engines(int count) {
    List<UpstreamInstance> engines = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      engines.add(SimulatedFleet.instance("engine-" + i, 0));
    }
    return engines;
  }

  private static Set<Member> schedulers(SchedulerAssignment assignment, int engineCount) {
    Set<Member> schedulers = new HashSet<>();
    engines(engineCount)
        .forEach(engine -> schedulers.add(assignment.schedulerOf(engine, engineCount)));
    return schedulers;
  }

  @DataProvider
  public Object[][] sizes() {
    return new Object[][] {
      {1, 5, 1}, {7, 1, 1}, {7, 10, 1}, {7, 11, 2}, {95, 53, 6}, {410, 920, 92}
    };
  }

  @Test(dataProvider = "sizes")
  public void upstreamsAreSpreadOverFewSchedulers(int routers, int engines, int expected) {
    SchedulerAssignment assignment = SchedulerAssignment.of(members(routers));

    assertEquals(
        assignment.schedulers(SimulatedFleet.MODEL, engines).size(), Math.min(routers, expected));
    int used = schedulers(assignment, engines).size();
    assertTrue(used <= expected && used > 0.8 * expected, "schedulers with engines: " + used);
  }

  @Test
  public void routersThatKnowTheSameMembersAgree() {
    List<Member> shuffled = members(95);
    Collections.shuffle(shuffled, new Random(1));
    SchedulerAssignment one = SchedulerAssignment.of(members(95));
    SchedulerAssignment other = SchedulerAssignment.of(shuffled);

    engines(53)
        .forEach(
            engine -> assertEquals(one.schedulerOf(engine, 53), other.schedulerOf(engine, 53)));
  }

  @Test
  public void lossOfARouterMovesOnlyItsUpstreamsAndThoseOfItsReplacement() {
    List<Member> before = members(95);
    SchedulerAssignment assignment = SchedulerAssignment.of(before);
    Member lost = assignment.schedulers(SimulatedFleet.MODEL, 53).get(2);
    List<Member> after = new ArrayList<>(before);
    after.remove(lost);
    SchedulerAssignment next = SchedulerAssignment.of(after);
    Member replacement = next.schedulers(SimulatedFleet.MODEL, 53).get(5);

    for (UpstreamInstance engine : engines(53)) {
      Member old = assignment.schedulerOf(engine, 53);
      Member now = next.schedulerOf(engine, 53);
      assertTrue(
          old.equals(now) || old.equals(lost) || now.equals(replacement), engine.id().text());
    }
  }
}
