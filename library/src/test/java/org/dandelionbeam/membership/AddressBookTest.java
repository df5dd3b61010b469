package org.dandelionbeam.membership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.stream.IntStream;
import org.dandelionbeam.base.FailureDomain;
import org.testng.annotations.Test;

/** The order in which routers are listed for callers. */
public class AddressBookTest {
  private static final FailureDomain CALLER_DOMAIN = FailureDomain.of("d1");
  private static final List<Member> MEMBERS = RendezvousTest.members(9, 3);

  private static AddressBook book(double loadOfCallerDomain, long seed) {
    return AddressBook.of(
        MEMBERS,
        Optional.of(CALLER_DOMAIN),
        member -> member.domain().equals(CALLER_DOMAIN) ? loadOfCallerDomain : 0.1,
        new Random(seed));
  }

  @Test
  public void theCallersDomainComesFirst() {
    List<AddressBook.Address> addresses = book(0.5, 1).addresses();
    assertEquals(addresses.size(), MEMBERS.size());
    assertTrue(
        addresses.subList(0, 3).stream().allMatch(each -> each.domain().equals(CALLER_DOMAIN)));
  }

  @Test
  public void busyNodesComeLast() {
    List<AddressBook.Address> addresses = book(0.95, 1).addresses();
    assertTrue(
        addresses.subList(6, 9).stream().allMatch(each -> each.domain().equals(CALLER_DOMAIN)));
  }

  @Test
  public void callersSpreadEvenlyOverEqualNodes() {
    List<Member> members =
        IntStream.range(0, 8)
            .mapToObj(
                i ->
                    new Member(
                        RendezvousTest.member(i, 1).id(), "h" + i, 1, 2, CALLER_DOMAIN, 1, false))
            .toList();
    Map<String, Integer> firsts = new HashMap<>();
    Random random = new Random(5);
    for (int caller = 0; caller < 8_000; caller++) {
      AddressBook book = AddressBook.of(members, Optional.empty(), member -> 0, random);
      firsts.merge(book.addresses().get(0).host(), 1, Integer::sum);
    }
    assertEquals(firsts.size(), 8);
    firsts.values().forEach(count -> assertEquals(count, 1_000, 120));
  }
}
