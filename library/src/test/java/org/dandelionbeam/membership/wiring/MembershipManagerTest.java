package org.dandelionbeam.membership.wiring;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.time.Clock;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.stream.IntStream;
import org.dandelionbeam.base.FailureDomain;
import org.dandelionbeam.base.MonotonicClock;
import org.dandelionbeam.base.NodeId;
import org.dandelionbeam.base.ServiceId;
import org.dandelionbeam.base.TeamId;
import org.dandelionbeam.base.UpstreamId;
import org.dandelionbeam.config.Configuration;
import org.dandelionbeam.config.Upstream;
import org.dandelionbeam.explain.Journal;
import org.dandelionbeam.membership.Slots;
import org.dandelionbeam.membership.WindowState;
import org.dandelionbeam.runtime.EventThread;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Membership on real threads, with a network and a platform in memory. */
public class MembershipManagerTest {
  private static final int NODES = 4;
  private static final int FIRST_PORT = 7_001;
  private static final UpstreamId ENGINE = UpstreamId.of(1);
  private static final FailureDomain EAST = FailureDomain.of("d0");

  private final List<MembershipManager> managers = new ArrayList<>();
  private MemoryNetwork network;
  private MemoryPlatform platform;

  @BeforeMethod
  public void startManagers() {
    network = new MemoryNetwork();
    platform = new MemoryPlatform();
    IntStream.range(0, NODES).mapToObj(this::manager).forEach(managers::add);
    managers.forEach(MembershipManager::start);
  }

  @AfterMethod
  public void stopManagers() {
    managers.forEach(MembershipManager::close);
    managers.clear();
  }

  private MembershipManager manager(int number) {
    NodeId id = NodeId.of("127.0.0.1:" + (FIRST_PORT + number));
    Configuration configuration = configuration();
    return MembershipManager.builder()
        .thread(EventThread.start("membership-" + number))
        .network(network.portOf(id))
        .store(platform)
        .host("127.0.0.1")
        .ports(FIRST_PORT + number, 8_001 + number)
        .domain(FailureDomain.of("d" + number % 2))
        .seeds(List.of("127.0.0.1:" + FIRST_PORT))
        .configuration(() -> configuration)
        .inFlight(upstream -> 0)
        .journal(Journal.of(Clock.systemUTC()))
        .meters(new SimpleMeterRegistry())
        .build();
  }

  private static Configuration configuration() {
    Upstream engine =
        new Upstream(ENGINE, "e", ServiceId.of(1), EAST, "127.0.0.2", 1, Set.of(), 12, 4, false);
    return Configuration.builder().upstream(engine).build();
  }

  private void await(BooleanSupplier condition) {
    CompletableFuture<Void> reached = new CompletableFuture<>();
    Runnable check =
        () -> {
          if (condition.getAsBoolean()) {
            reached.complete(null);
          }
        };
    managers.forEach(manager -> manager.onChange(check));
    check.run();
    CompletableFuture<Void> done = reached.orTimeout(60, TimeUnit.SECONDS);
    while (!done.isDone()) {
      check.run();
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(10));
    }
    done.join();
  }

  private boolean hasOneNodeAllSlots() {
    return managers.stream().anyMatch(manager -> slots(manager).equals(new Slots(12, 4)));
  }

  private static Slots slots(MembershipManager manager) {
    return manager.slots(ENGINE, MonotonicClock.system().nanos());
  }

  @Test
  public void nodesJoinAndAgreeOnOwnersHomesAndWindows() {
    await(
        () ->
            hasOneNodeAllSlots()
                && managers.stream().allMatch(manager -> manager.aliveMembers().size() == NODES));
    MembershipManager owner =
        managers.stream().filter(manager -> slots(manager).warm() > 0).findFirst().get();
    assertEquals(
        managers.stream().map(manager -> manager.homeOf(TeamId.of(5))).distinct().count(), 1);
    owner.publishWindow(ENGINE, new WindowState(false, 9));
    await(
        () ->
            managers.stream()
                .allMatch(
                    manager ->
                        manager
                            .inheritedWindow(ENGINE)
                            .equals(Optional.of(new WindowState(false, 9)))));
    assertEquals(owner.status().owned(), List.of(1));
    assertEquals(owner.addresses(Optional.of(EAST)).addresses().size(), NODES);
  }

  @Test
  public void aLeavingDomainStopsNewWorkAndItsNodesAreNotListed() {
    await(() -> hasOneNodeAllSlots());
    managers.get(1).leaveDomain(EAST).join();
    await(() -> managers.stream().noneMatch(manager -> manager.acceptsNewWork(ENGINE)));
    managers.forEach(
        manager ->
            assertTrue(
                manager.addresses(Optional.empty()).addresses().stream()
                    .noneMatch(address -> address.domain().equals(EAST))));
    managers.get(0).returnDomain(EAST).join();
    await(() -> managers.stream().allMatch(manager -> manager.acceptsNewWork(ENGINE)));
    assertTrue(managers.get(1).admittedShare(ENGINE, MonotonicClock.system().nanos()) < 1);
  }

  @Test
  public void aResigningNodeLeavesTheRoster() {
    await(() -> hasOneNodeAllSlots());
    MembershipManager leaving = managers.get(0);
    leaving.resign().orTimeout(60, TimeUnit.SECONDS).join();
    await(
        () ->
            managers.stream()
                .skip(1)
                .allMatch(manager -> manager.status().members().size() == NODES - 1));
    assertEquals(slots(leaving), Slots.none());
  }
}
