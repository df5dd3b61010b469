package org.dandelionbeam.summary;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.dandelionbeam.base.FailureDomain;
import org.dandelionbeam.routing.Endpoint;
import org.dandelionbeam.routing.FleetLimits;
import org.dandelionbeam.routing.FleetMembers;
import org.dandelionbeam.routing.FleetMembers.Member;
import org.dandelionbeam.routing.FleetState;
import org.dandelionbeam.routing.RouterName;

/** One router of a {@link ReportingFleet}, which may stop, be late or stand still. */
final class ReportingRouter {
  private static final FleetLimits LIMITS =
      new FleetLimits(0.2, 54, Duration.ofSeconds(10), 1.5, 5);

  final List<SummaryMessage> unread = new ArrayList<>();
  final Set<RouterName> relays = new HashSet<>();
  Member member;
  FleetState state;
  SummaryExchange exchange;

  /** The event loop runs no task until then, and reads messages after the tasks. */
  long lateUntilMs;

  boolean stopped;
  boolean serving = true;
  int messages;

  private final ReportingFleet fleet;
  private boolean tickDue;

  private boolean paused;
  private Pause pause;
  private long clockStoodMs;

  ReportingRouter(ReportingFleet fleet, int index) {
    this.fleet = fleet;
    Endpoint endpoint = new Endpoint("10.0.0.1", 1 + index);
    member =
        new Member(
            RouterName.of("router-" + index),
            endpoint,
            endpoint,
            FailureDomain.of("domain-" + index % ReportingFleet.DOMAINS),
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
    advanceTime();
    list(fleet.routers);
  }

  /** Starts again after its process has ended, with the next incarnation and all registrations. */
  void startAgain(List<ReportingRouter> registered) {
    member =
        new Member(
            member.name(),
            member.callers(),
            member.peers(),
            member.domain(),
            member.incarnation() + 1,
            member.capacity());
    start();
    unread.clear();
    stopped = false;
    advanceTime();
    list(registered);
  }

  /**
   * A way in which a router stands still while messages wait in its sockets.
   *
   * @param clockStands whether its monotonic clock stands still, as that of a suspended VM does
   * @param readsFirst whether it reads the messages before it runs the tasks that are due
   */
  record Pause(boolean clockStands, boolean readsFirst) {}

  void pause(Pause newPause) {
    paused = true;
    pause = newPause;
  }

  void resume() {
    paused = false;
    advanceTime();
    if (pause.readsFirst()) {
      read();
    }
  }

  boolean isRunning() {
    return !stopped && !paused;
  }

  long nowNanos() {
    return (fleet.nowMs - clockStoodMs) * ReportingFleet.MS;
  }

  void advanceTime() {
    if (paused) {
      clockStoodMs += pause.clockStands() ? 1 : 0;
    } else {
      state.advanceTo(nowNanos(), fleet.nowMs);
    }
  }

  void step(boolean isTick) {
    tickDue |= isTick;
    if (paused) {
      return;
    }
    if (!stopped && fleet.nowMs >= lateUntilMs && tickDue) {
      tickDue = false;
      tick();
    }
    read();
  }

  private void tick() {
    state.members().serving(serving);
    for (SummaryExchange.Outgoing outgoing : exchange.tick()) {
      messages++;
      if (outgoing.message() instanceof SummaryMessage.RouterReport) {
        relays.add(outgoing.to().name());
      }
      fleet.send(outgoing.to(), outgoing.message());
    }
  }

  void arrive(SummaryMessage message) {
    if (!stopped) {
      messages++;
      unread.add(message);
    }
  }

  private void read() {
    if (fleet.nowMs >= lateUntilMs) {
      unread.forEach(exchange::receive);
      unread.clear();
    }
  }

  boolean takesForAvailable(ReportingRouter other) {
    return state.members().isAvailable(other.member.name().number(), nowNanos());
  }

  void list(List<ReportingRouter> registered) {
    state.members().listed(registered.stream().map(r -> r.member).toList(), nowNanos());
  }

  void learnThatRegistrationLapsed(ReportingRouter off, boolean byListing) {
    if (this == off) {
      return;
    }
    if (byListing) {
      list(fleet.without(off));
    } else {
      state.members().removeRegistration(off.member.name(), nowNanos());
    }
  }
}
