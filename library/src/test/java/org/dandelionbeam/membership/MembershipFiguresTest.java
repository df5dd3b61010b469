package org.dandelionbeam.membership;

import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.dandelionbeam.base.FailureDomain;
import org.dandelionbeam.base.NodeId;
import org.dandelionbeam.base.UpstreamId;
import org.dandelionbeam.config.Upstream;
import org.dandelionbeam.membership.wiring.MessageBytes;
import org.dandelionbeam.peer.PeerMessage;
import org.testng.Reporter;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Control traffic and reaction times by size of the fleet, in simulated time. */
public class MembershipFiguresTest {
  private static final double UPSTREAMS_PER_NODE = 2.2;
  private static final int FRAME_BYTES = 4;
  private static final Duration MINUTE = Duration.ofMinutes(1);
  private static final Duration IDLE = Duration.ofSeconds(20);
  private static final int MAX_SIZE = Integer.getInteger("figures.max", 32);

  @DataProvider
  public Object[][] sizes() {
    return Stream.of(8, 32, 128, 410)
        .filter(size -> size <= MAX_SIZE)
        .map(size -> new Object[] {size})
        .toArray(Object[][]::new);
  }

  private static MembershipFleet startFleet(long seed, int size) {
    MembershipFleet fleet =
        MembershipFleet.settled(seed, size, (int) Math.round(size * UPSTREAMS_PER_NODE));
    fleet.run(Duration.ofSeconds(12));
    return fleet;
  }

  @Test(dataProvider = "sizes")
  public void idleTrafficStaysWithinItsBudget(int size) {
    MembershipFleet fleet = startFleet(1, size);
    Meter meter = new Meter();
    fleet.meter = meter::add;
    fleet.run(IDLE);
    double nodeSeconds = (double) size * IDLE.toSeconds();
    report(
        "idle, %d nodes: %.1f messages/s, %.0f bytes/s, %.0f ns/event, %.4f%% of a core; %s",
        size,
        meter.messages / nodeSeconds,
        meter.bytes / nodeSeconds,
        (double) meter.nanos / meter.events,
        meter.nanos / nodeSeconds / 1e7,
        meter.byType(nodeSeconds));
    assertTrue(meter.bytes / nodeSeconds < 3_000, "bytes/s " + meter.bytes / nodeSeconds);
  }

  @Test(dataProvider = "sizes")
  public void reactionTimesStayWithinTheirTargets(int size) {
    List<Duration> takeovers = new ArrayList<>();
    List<Duration> leaves = new ArrayList<>();
    for (long seed = 1; seed <= 5; seed++) {
      MembershipFleet fleet = startFleet(seed, size);
      takeovers.add(takeoverTime(fleet).orElse(MINUTE));
      leaves.add(domainLeaveTime(fleet).orElse(MINUTE));
    }
    Collections.sort(takeovers);
    Collections.sort(leaves);
    report("%d nodes: takeover %s, domain leave everywhere %s", size, takeovers, leaves);
    assertTrue(takeovers.get(4).compareTo(Duration.ofSeconds(3)) < 0, takeovers.toString());
    assertTrue(leaves.get(4).compareTo(Duration.ofSeconds(3)) < 0, leaves.toString());
  }

  @Test(dataProvider = "sizes")
  public void aChangeOfTheRosterIsSmallAndKnownInTime(int size) {
    MembershipFleet fleet = startFleet(1, size);
    Meter meter = new Meter();
    fleet.meter = meter::add;
    fleet.start(size);
    Optional<Duration> known =
        fleet.runUntil(
            now ->
                now.nodes.values().stream()
                    .allMatch(node -> node.membership.roster().members().size() == size + 1),
            MINUTE);
    Optional<Duration> settled = fleet.runUntil(now -> now.stored.isSettled(), MINUTE);
    Roster roster = fleet.stored.atRevision(fleet.stored.revision() + 1);
    Membership one = fleet.nodes.get(NodeId.of("n0")).membership;
    long before = System.nanoTime();
    one.adopt(roster, fleet.now);
    report(
        "%d nodes, one joins: known to all after %s, settled %s later, adopting takes %d us, %s",
        size, known, settled, (System.nanoTime() - before) / 1_000, meter.byType(size));
    assertTrue(known.isPresent() && settled.isPresent());
  }

  /**
   * Returns the time until every upstream of a killed node has an owner with slots, and reports
   * when all nodes know it.
   */
  private static Optional<Duration> takeoverTime(MembershipFleet fleet) {
    NodeId killed = NodeId.of("n0");
    MembershipView view = fleet.nodes.get(killed).view();
    List<UpstreamId> owned =
        fleet.configuration.upstreams().stream()
            .map(Upstream::id)
            .filter(id -> view.ownerOf(id).equals(Optional.of(killed)))
            .toList();
    fleet.kill(killed);
    Optional<Duration> usable =
        fleet.runUntil(now -> owned.stream().allMatch(id -> isUsable(now, id)), MINUTE);
    Optional<Duration> known =
        fleet.runUntil(now -> owned.stream().allMatch(id -> isOwnerKnown(now, id)), MINUTE);
    report(
        "  killed owner of %d: usable after %s, known to all %s later",
        owned.size(), usable, known);
    return usable;
  }

  private static boolean isUsable(MembershipFleet fleet, UpstreamId id) {
    return fleet.nodes.values().stream()
        .anyMatch(node -> node.view().slots(id, fleet.now).warm() > 0);
  }

  private static boolean isOwnerKnown(MembershipFleet fleet, UpstreamId id) {
    return fleet.nodes.values().stream()
        .allMatch(
            node ->
                node.view()
                    .ownerOf(id)
                    .map(fleet.nodes::get)
                    .filter(owner -> owner.view().slots(id, fleet.now).warm() > 0)
                    .isPresent());
  }

  private static Optional<Duration> domainLeaveTime(MembershipFleet fleet) {
    FailureDomain domain = FailureDomain.of("d1");
    fleet.nodes.get(NodeId.of("n3")).membership.markDomain(domain, true, fleet.now);
    return fleet.runUntil(
        now -> now.nodes.values().stream().allMatch(node -> node.view().shares().isLeaving(domain)),
        MINUTE);
  }

  private static void report(String format, Object... values) {
    Reporter.log(String.format(format, values), Boolean.getBoolean("figures"));
  }

  /** Counts messages and their bytes, and adds up the time that handling them took. */
  private static final class Meter {
    private final Map<String, long[]> types = new HashMap<>();
    private long messages;
    private long bytes;
    private long nanos;
    private long events;

    void add(PeerMessage message, long eventNanos) {
      if (message == null) {
        events++;
        nanos += eventNanos;
        return;
      }
      int size = MessageBytes.of(message) + FRAME_BYTES;
      messages++;
      bytes += size;
      long[] sums = types.computeIfAbsent(message.getClass().getSimpleName(), name -> new long[2]);
      sums[0]++;
      sums[1] += size;
    }

    String byType(double nodeSeconds) {
      StringBuilder text = new StringBuilder();
      types.forEach(
          (name, sums) ->
              text.append(
                  String.format(
                      "%s %.1f/s %d bytes, ", name, sums[0] / nodeSeconds, sums[1] / sums[0])));
      return text.toString();
    }
  }
}
