package org.dandelionbeam.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.dandelionbeam.base.FailureDomain;
import org.dandelionbeam.routing.FleetMembers.Member;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Selection of the routers that the directory names to callers. */
public class AddressSelectorTest {
  private static final FailureDomain A = FailureDomain.of("a");
  private static final FailureDomain B = FailureDomain.of("b");

  /** Returns routers of a domain, each fifth of them with four times the capacity. */
  private static List<Member> members(FailureDomain domain, int count) {
    List<Member> members = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      Endpoint endpoint = new Endpoint(domain.name(), 1 + i);
      double capacity = i % 5 == 4 ? 1.5 : 0.36;
      members.add(
          new Member(RouterName.of(domain.name() + i), endpoint, endpoint, domain, 1, capacity));
    }
    return members;
  }

  private static List<Member> members(int countA, int countB) {
    List<Member> all = new ArrayList<>(members(A, countA));
    all.addAll(members(B, countB));
    return all;
  }

  @Test
  public void routersOfTheCallersDomainWithMostCapacityComeFirst() {
    List<Endpoint> selected = AddressSelector.select(members(20, 20), A, 100);

    assertEquals(
        selected, List.of(new Endpoint("a", 15), new Endpoint("a", 20), new Endpoint("a", 5)));
  }

  @DataProvider
  public Object[][] rates() {
    return new Object[][] {{0, 3}, {1_000, 4}, {2_000, 7}, {100_000, 64}};
  }

  @Test(dataProvider = "rates")
  public void moreRoutersAreNamedTheMoreRequestsThereAre(double perSecond, int expected) {
    assertEquals(AddressSelector.select(members(40, 60), A, perSecond).size(), expected);
  }

  @Test
  public void callersOfALostDomainAreSentToOthers() {
    List<Endpoint> selected = AddressSelector.select(members(0, 10), A, 100);

    assertEquals(selected.size(), 3);
    assertTrue(selected.stream().allMatch(endpoint -> endpoint.host().equals("b")));
    assertEquals(AddressSelector.select(List.of(), A, 100), List.of());
  }
}
