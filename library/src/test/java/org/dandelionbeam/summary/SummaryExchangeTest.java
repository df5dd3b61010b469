package org.dandelionbeam.summary;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.dandelionbeam.base.FailureDomain;
import org.dandelionbeam.routing.Endpoint;
import org.dandelionbeam.routing.FleetLimits;
import org.dandelionbeam.routing.FleetMembers;
import org.dandelionbeam.routing.FleetMembers.Member;
import org.dandelionbeam.routing.FleetState;
import org.dandelionbeam.routing.RouterName;
import org.dandelionbeam.routing.StoreData;
import org.dandelionbeam.routing.StoreVersions;
import org.dandelionbeam.routing.TeamName;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Reports between routers while relays fail and routers come and go. */
public class SummaryExchangeTest {
  private static final long MS = 1_000_000L;
  private static final int DOMAINS = 3;
  private static final int TICK_MS = 100;

  /** Routers that are taken for available stay so for longer than this. */
  private static final int CHECK_INTERVAL_MS = 10;

  /** Time after which the directory must no longer name a router that went off. */
  private static final int OFF_BOUND_MS = 6_000;

  private static final TeamName TEAM = TeamName.of("red");
  private static final FleetLimits LIMITS =
      new FleetLimits(0.2, 54, Duration.ofSeconds(10), 1.5, 5);

  /** Routers that exchange messages, each of which takes 2 ms. */
  private static final class Fleet {
    private final List<Router> routers = new ArrayList<>();
    private final Map<RouterName, Router> byName = new HashMap<>();
    private List<Runnable> sent = new ArrayList<>();
    private long nowMs;

    Fleet(int size) {
      for (int i = 0; i < size; i++) {
        Router router = new Router(this, i);
        routers.add(router);
        byName.put(router.member.name(), router);
      }
      List<Member> members = routers.stream().map(router -> router.member).toList();
      routers.forEach(router -> router.state.members().listed(members, 0));
    }

    void run(int ms) {
      for (int i = 0; i < ms; i++) {
        step();
      }
    }

    private void step() {
      nowMs++;
      routers.forEach(router -> router.state.advanceTo(nowMs * MS, nowMs));
      if (nowMs % 2 == 0) {
        List<Runnable> arriving = sent;
        sent = new ArrayList<>();
        arriving.forEach(Runnable::run);
      }
      for (int i = 0; i < routers.size(); i++) {
        Router router = routers.get(i);
        router.tickDue |= (nowMs + 7 * i) % TICK_MS == 0;
        if (!router.stopped && nowMs >= router.lateUntilMs && router.tickDue) {
          router.tickDue = false;
          router.tick();
        }
        router.read();
      }
    }

    void assertAllKnow(List<Router> available) {
      for (Router router : routers) {
        if (!router.stopped && router.serving) {
          assertEquals(
              router.state.members().available(nowMs * MS).stream()
                  .map(Member::name)
                  .sorted()
                  .toList(),
              available.stream().map(other -> other.member.name()).sorted().toList(),
              "known to " + router.member.name());
        }
      }
    }

    /** Runs, and checks all the while that no running router takes another one for available. */
    void runWithout(Router off, int ms) {
      for (int i = 0; i < ms; i++) {
        step();
        if (nowMs % CHECK_INTERVAL_MS != 0) {
          continue;
        }
        for (Router router : routers) {
          assertTrue(
              router.stopped
                  || !router.state.members().isAvailable(off.member.name().number(), nowMs * MS),
              off.member.name() + " is named by " + router.member.name() + " at " + nowMs + " ms");
        }
      }
    }

    List<Router> without(Router gone) {
      return routers.stream().filter(router -> router != gone).toList();
    }

    Router relayOf(int domain) {
      List<Member> members = routers.stream().map(router -> router.member).toList();
      return byName.get(
          RelaySelector.ranked(FailureDomain.of("domain-" + domain), members).get(0).name());
    }
  }

  /** One router. */
  private static final class Router {
    private final Fleet fleet;
    private final Member member;
    private FleetState state;
    private SummaryExchange exchange;
    private final List<SummaryMessage> unread = new ArrayList<>();
    private final Set<RouterName> relays = new HashSet<>();

    /** The event loop runs no task until then, and reads messages after the tasks. */
    private long lateUntilMs;

    private boolean tickDue;
    private boolean stopped;
    private boolean serving = true;
    private int messages;

    Router(Fleet fleet, int index) {
      this.fleet = fleet;
      Endpoint endpoint = new Endpoint("10.0.0.1", 1 + index);
      member =
          new Member(
              RouterName.of("router-" + index),
              endpoint,
              endpoint,
              FailureDomain.of("domain-" + index % DOMAINS),
              1,
              1);
      start();
    }

    private void start() {
      state = FleetState.of(LIMITS, FleetMembers.of(member));
      exchange = SummaryExchange.of(state, () -> serving);
    }

    /** Starts again without memory and reads all registrations. */
    void restart() {
      start();
      state.advanceTo(fleet.nowMs * MS, fleet.nowMs);
      list(fleet.routers);
    }

    void list(List<Router> registered) {
      state.members().listed(registered.stream().map(r -> r.member).toList(), fleet.nowMs * MS);
    }

    void learnThatRegistrationLapsed(Router off, boolean byListing) {
      if (this == off) {
        return;
      }
      if (byListing) {
        list(fleet.without(off));
      } else {
        state.members().removeRegistration(off.member.name(), fleet.nowMs * MS);
      }
    }

    void tick() {
      state.members().serving(serving);
      for (SummaryExchange.Outgoing outgoing : exchange.tick()) {
        messages++;
        if (outgoing.message() instanceof SummaryMessage.RouterReport) {
          relays.add(outgoing.to().name());
        }
        Router to = fleet.byName.get(outgoing.to().name());
        fleet.sent.add(
            () -> {
              if (!to.stopped) {
                to.messages++;
                to.unread.add(outgoing.message());
              }
            });
      }
    }

    private void read() {
      if (fleet.nowMs >= lateUntilMs) {
        unread.forEach(exchange::receive);
        unread.clear();
      }
    }
  }

  @DataProvider
  public Object[][] sizes() {
    return new Object[][] {{1}, {2}, {7}, {30}, {95}};
  }

  @Test(dataProvider = "sizes")
  public void allRoutersLearnOfEachOtherAndOfTheSums(int size) {
    Fleet fleet = new Fleet(size);
    fleet.run(600);
    fleet.assertAllKnow(fleet.routers);

    fleet.routers.forEach(router -> router.state.usage().recordUsage(TEAM, 100, fleet.nowMs * MS));
    double total = 100.0 * size;
    fleet.run(400);

    double decay = Math.pow(0.5, 400.0 / 600);
    for (Router router : fleet.routers) {
      double usage = router.state.usage().usageOf(TEAM, fleet.nowMs * MS);
      assertEquals(usage, total * decay, 0.03 * total, "usage at " + router.member.name());
    }
  }

  // Guards against a busy router that reads the answers of its relay late, takes it for dead and
  // no longer knows what the others report.
  @Test
  public void busyRouterKeepsItsRelay() {
    Fleet fleet = new Fleet(30);
    fleet.run(2_000);
    Router relay = fleet.relayOf(0);
    Router busy =
        fleet.routers.stream()
            .filter(
                router -> router != relay && router.member.domain().equals(relay.member.domain()))
            .findFirst()
            .orElseThrow();
    for (int i = 0; i < 20; i++) {
      busy.lateUntilMs = fleet.nowMs + 650;
      fleet.run(700);
    }

    assertEquals(busy.relays, Set.of(relay.member.name()));
  }

  @Test
  public void relayThatStopsIsReplaced() {
    Fleet fleet = new Fleet(30);
    fleet.run(600);
    Router relay = fleet.relayOf(0);
    relay.stopped = true;
    fleet.run(2_500);

    fleet.assertAllKnow(fleet.without(relay));
    relay.stopped = false;
    fleet.run(3_500);
    fleet.assertAllKnow(fleet.routers);
  }

  /** Relays that stop, and for how long. */
  @DataProvider
  public Object[][] stops() {
    return new Object[][] {
      {1, 4_000}, {2, 4_000}, {3, 4_000}, {4, 4_000}, {6, 4_000}, {4, 3_950}, {4, 4_050}, {4, 2_500}
    };
  }

  // Guards against routers of a domain that use different relays from then on, so that each part
  // of the domain takes the other one for lost.
  @Test(dataProvider = "stops")
  public void relaysOfADomainThatStopTogetherAreReplacedAndReturn(int count, int stoppedMs) {
    Fleet fleet = new Fleet(30);
    fleet.run(600);
    List<Member> members = fleet.routers.stream().map(router -> router.member).toList();
    List<Router> relays =
        RelaySelector.ranked(FailureDomain.of("domain-1"), members).stream()
            .limit(count)
            .map(member -> fleet.byName.get(member.name()))
            .toList();
    relays.forEach(relay -> relay.stopped = true);
    fleet.run(stoppedMs);
    fleet.assertAllKnow(fleet.routers.stream().filter(router -> !relays.contains(router)).toList());

    relays.forEach(relay -> relay.stopped = false);
    fleet.run(4_000);
    fleet.assertAllKnow(fleet.routers);
  }

  @Test
  public void routersOfALostDomainAreNotAvailable() {
    Fleet fleet = new Fleet(30);
    fleet.run(600);
    List<Router> others = new ArrayList<>();
    for (Router router : fleet.routers) {
      router.stopped = router.member.domain().name().equals("domain-2");
      if (!router.stopped) {
        others.add(router);
      }
    }
    fleet.run(2_500);

    fleet.assertAllKnow(others);
  }

  @DataProvider
  public Object[][] sizesAndOffRouters() {
    return new Object[][] {{7, 0}, {7, 4}, {30, 0}, {30, 11}, {95, 2}, {95, 60}, {410, 5}};
  }

  // Guards against a directory that names a router again, long after it went off, since its
  // registration lapses at relays before it does at the routers that report to them.
  @Test(dataProvider = "sizesAndOffRouters")
  public void routerThatIsOffIsNotAvailableAgainWhenItsRegistrationLapses(int size, int index) {
    Fleet fleet = new Fleet(size);
    fleet.run(600);
    Router off = fleet.routers.get(index);
    off.stopped = true;
    fleet.run(OFF_BOUND_MS);
    fleet.runWithout(off, 9_000);

    int lapsedMs = (int) fleet.nowMs;
    while (fleet.nowMs < lapsedMs + 4_000) {
      for (int i = 0; i < size; i++) {
        if (fleet.nowMs == lapsedMs + 1 + 37L * i % 2_500) {
          fleet.routers.get(i).learnThatRegistrationLapsed(off, i % 3 == 0);
        }
      }
      fleet.runWithout(off, 1);
    }
    fleet.runWithout(off, 6_000);
  }

  // Guards against a directory that names a router that is off while a relay that has just started
  // can't know yet that it is.
  @Test(dataProvider = "sizesAndOffRouters")
  public void routerThatIsOffIsNotAvailableAgainWhenRelaysRestart(int size, int index) {
    Fleet fleet = new Fleet(size);
    fleet.run(600);
    Router off = fleet.routers.get(index);
    off.stopped = true;
    fleet.run(OFF_BOUND_MS);

    for (int domain = 0; domain < DOMAINS; domain++) {
      Router relay = fleet.relayOf(domain);
      if (relay != off) {
        relay.restart();
      }
      fleet.runWithout(off, 4_000);
    }
  }

  // Guards against routers that keep registrations which a listing of the store no longer has.
  @Test
  public void listingRemovesRoutersThatItLacks() {
    Fleet fleet = new Fleet(7);
    fleet.run(600);
    Router off = fleet.routers.get(4);
    off.stopped = true;
    fleet.run(OFF_BOUND_MS);
    Router reader = fleet.routers.get(1);
    reader.list(fleet.without(off));
    fleet.run(200);

    assertTrue(reader.state.members().find(off.member.name()).isEmpty());
  }

  /** Domains whose relay can't read the store, and whether the other routers rely on relays. */
  @DataProvider
  public Object[][] relaysWithoutStore() {
    return new Object[][] {
      {7, 0, true}, {7, 1, true}, {7, DOMAINS, false}, {30, 1, true}, {30, DOMAINS, false}
    };
  }

  // Guards against a configuration that nobody reads, as the store turns away just the routers that
  // read it for all others.
  @Test(dataProvider = "relaysWithoutStore")
  public void routersReadTheStoreThemselvesWhenNoRelayCan(
      int size, int failingDomains, boolean informed) {
    Fleet fleet = new Fleet(size);
    fleet.run(1_000);
    Set<Router> relays = new HashSet<>();
    for (int domain = 0; domain < DOMAINS; domain++) {
      Router relay = fleet.relayOf(domain);
      relays.add(relay);
      if (domain < failingDomains) {
        relay.state.recordCallFailed(StoreData.OPERATORS);
      }
    }
    fleet.run(500);

    for (Router router : fleet.routers) {
      if (!relays.contains(router)) {
        assertEquals(router.exchange.isInformed(), informed, router.member.name().text());
      }
    }
    relays.forEach(relay -> relay.state.recordCurrent(StoreData.OPERATORS, 1));
    fleet.run(500);
    for (Router router : fleet.routers) {
      assertEquals(router.exchange.isInformed(), !relays.contains(router));
    }
  }

  @Test
  public void leavingRouterIsNotAvailableAtOnce() {
    Fleet fleet = new Fleet(30);
    fleet.run(600);
    Router leaving = fleet.routers.get(4);
    leaving.serving = false;
    fleet.run(400);

    fleet.assertAllKnow(fleet.without(leaving));
  }

  /** The number of messages of a router must not grow with the number of routers. */
  @Test
  public void mostRoutersHandleTheSameNumberOfMessagesInAnyFleet() {
    for (int size : new int[] {30, 300}) {
      Fleet fleet = new Fleet(size);
      fleet.run(600);
      fleet.routers.forEach(router -> router.messages = 0);
      fleet.run(1_000);

      List<Integer> messages =
          fleet.routers.stream().map(router -> router.messages).sorted().toList();
      assertTrue(messages.get(size - 2 * DOMAINS - 1) <= 40, "messages a second: " + messages);
      double mean = messages.stream().mapToInt(Integer::intValue).average().orElse(0);
      assertTrue(mean <= 60, "mean of messages a second: " + mean);
    }
  }

  // Guards against routers that go on with the data of a store that was restored since.
  @Test(dataProvider = "sizes")
  public void laterEraOfTheStoreReachesAllRouters(int size) {
    Fleet fleet = new Fleet(size);
    fleet.routers.forEach(router -> router.state.recordStoreEra(1));
    fleet.routers.forEach(router -> router.state.recordChange(StoreData.OPERATORS, 900));
    fleet.run(400);
    Router first = fleet.routers.get(0);
    first.state.recordStoreEra(2);
    first.state.recordChange(StoreData.OPERATORS, 850);
    fleet.run(400);

    for (Router router : fleet.routers) {
      assertEquals(
          router.state.staleStateDetector().isBehind(StoreData.OPERATORS, versionsOf(router)),
          router != first,
          router.member.name().text());
    }
  }

  // Guards against schedulers that go on granting an upstream that leaves.
  @Test(dataProvider = "sizes")
  public void upstreamThatLeavesIsKnownToAllRoutersWithinASecond(int size) {
    Fleet fleet = new Fleet(size);
    fleet.run(400);
    fleet.routers.get(0).state.upstreams().recordLeaving(Set.of(17), fleet.nowMs * MS);
    fleet.run(1_000);

    for (Router router : fleet.routers) {
      assertEquals(router.state.upstreams().leaving(), Set.of(17), router.member.name().text());
    }
  }

  private static StoreVersions versionsOf(Router router) {
    return router.state.storeVersions();
  }
}
