package org.dandelionbeam.membership;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;
import org.dandelionbeam.base.FailureDomain;

/**
 * Addresses of routers that callers may use, best first, and how long the list is valid.
 *
 * @param addresses the addresses in order
 * @param lifetime time after which a caller should ask for a new list
 */
public record AddressBook(List<Address> addresses, Duration lifetime) {
  private static final Duration LIFETIME = Duration.ofSeconds(30);
  private static final double BUSY_LOAD_THRESHOLD = 0.8;
  private static final int MAX_ADDRESSES = 16;

  /** Copies the list. */
  public AddressBook {
    addresses = List.copyOf(addresses);
    requireNonNull(lifetime, "lifetime");
  }

  /**
   * Orders usable members: members below the load threshold first, among these the members of the
   * caller's domain first. Members that rank equal are in random order, so that callers spread
   * evenly.
   *
   * @param usable members that are alive and not leaving
   * @param callerDomain the caller's failure domain, empty if unknown
   * @param load returns the load of a member, 1 when it is full
   * @param random source of the random order
   * @return the best addresses, limited in number
   */
  public static AddressBook of(
      List<Member> usable,
      Optional<FailureDomain> callerDomain,
      ToDoubleFunction<Member> load,
      RandomGenerator random) {
    List<Member> order = new ArrayList<>(usable);
    Collections.shuffle(order, new Random(random.nextLong()));
    Comparator<Member> idleFirst =
        Comparator.comparing(member -> load.applyAsDouble(member) >= BUSY_LOAD_THRESHOLD);
    Comparator<Member> nearFirst =
        Comparator.comparing(member -> !callerDomain.equals(Optional.of(member.domain())));
    order.sort(idleFirst.thenComparing(nearFirst));
    List<Address> addresses =
        order.stream().limit(MAX_ADDRESSES).map(AddressBook::address).toList();
    return new AddressBook(addresses, LIFETIME);
  }

  private static Address address(Member member) {
    return new Address(member.host(), member.callerPort(), member.domain());
  }

  /**
   * Address of one router.
   *
   * @param host IP address of the router
   * @param port TCP port for callers
   * @param domain failure domain of the router
   */
  public record Address(String host, int port, FailureDomain domain) {}
}
