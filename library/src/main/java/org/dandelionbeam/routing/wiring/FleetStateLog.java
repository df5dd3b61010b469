package org.dandelionbeam.routing.wiring;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.dandelionbeam.base.FailureDomain;
import org.dandelionbeam.routing.AvailabilityMonitor;
import org.dandelionbeam.routing.Departure;
import org.dandelionbeam.routing.Endpoint;
import org.dandelionbeam.routing.Pause;
import org.dandelionbeam.routing.RoutingTable;
import org.dandelionbeam.routing.Suspect;
import org.dandelionbeam.routing.TeamName;
import org.dandelionbeam.routing.TeamShareMonitor;
import org.dandelionbeam.routing.UpstreamDepartures;
import org.dandelionbeam.routing.UpstreamDirectory;
import org.dandelionbeam.scheduling.SchedulerService;

/** Logs what this router comes to believe about the fleet. Confined to one event loop. */
final class FleetStateLog {
  /** Keeps a line short when a failure domain is lost. */
  private static final int MAX_ROUTERS = 8;

  private static final int MAX_TEAMS = 4;

  /** Source of what another router has told. */
  private static final String HEARD = "PEER";

  /** Part of its claim below which a team is logged, well before it is unfair. */
  private static final double LOGGED_SHARE = 0.7;

  /** Callers notice a delay of this size in the time to the first output. */
  private static final Duration LOGGED_DELAY = Duration.ofMillis(100);

  private final RouterContext context;
  private final TeamShareMonitor shares;
  private final AvailabilityMonitor availability;
  private final Map<FailureDomain, List<Endpoint>> namedAddresses = new HashMap<>();
  private Set<Suspect> blamed = Set.of();
  private Optional<Pause> loggedPause = Optional.empty();

  FleetStateLog(RouterContext context) {
    this.context = requireNonNull(context, "context");
    shares = TeamShareMonitor.of(context.fleet().usage());
    availability = AvailabilityMonitor.of(context.fleet().members());
  }

  /** Logs the changes since the last call; to be called several times a second. */
  void logChanges() {
    logPause();
    List<AvailabilityMonitor.Change> changes = availability.changes(context.fleet().nowNanos());
    logAvailability("routers_available", changes, true);
    logAvailability("routers_unavailable", changes, false);
    logBlame();
    logDepartures();
  }

  /** Logs the upstreams that other routers have told to leave or to be gone. */
  private void logDepartures() {
    UpstreamDirectory upstreams = context.fleet().upstreams();
    for (UpstreamDepartures.Heard heard : upstreams.departures().takeHeard()) {
      Departure departure = heard.departure();
      upstreams
          .find(heard.start())
          .ifPresent(
              upstream ->
                  context
                      .log()
                      .line("upstream_leaving")
                      .with("upstream", upstream.id())
                      .with("why", departure.isFinal() ? "response" : "entry")
                      .with("revision", departure.isFinal() ? "none" : departure.revision())
                      .with("source", HEARD)
                      .with("known_ms", departure.age().toMillis())
                      .write());
      context.metrics().recordDeparture(HEARD, departure.age());
    }
  }

  /** Logs that this process stood still, since what it believes may be older than it knows. */
  private void logPause() {
    Optional<Pause> last = context.fleet().lastPause();
    if (!last.equals(loggedPause)) {
      loggedPause = last;
      last.ifPresent(
          pause ->
              context.log().line("process_resumed").with("ms", pause.length().toMillis()).write());
    }
  }

  /** Logs which routers changed and on whose word; one line, however many there are. */
  private void logAvailability(
      String event, List<AvailabilityMonitor.Change> changes, boolean available) {
    List<AvailabilityMonitor.Change> matching =
        changes.stream().filter(change -> change.availability().available() == available).toList();
    if (!matching.isEmpty()) {
      context
          .log()
          .line(event)
          .with("count", matching.size())
          .with("routers", matching.stream().limit(MAX_ROUTERS).toList())
          .write();
    }
  }

  /** Logs with what requests are refused from now on, or no longer. */
  private void logBlame() {
    Map<Suspect, Duration> current =
        context.fleet().crashBlame().blamed(context.fleet().nowNanos());
    current.forEach(
        (suspect, remaining) -> {
          if (!blamed.contains(suspect)) {
            blameLine("suspect_blamed", suspect).with("hold_ms", remaining.toMillis()).write();
          }
        });
    for (Suspect suspect : blamed) {
      if (!current.containsKey(suspect)) {
        blameLine("suspect_forgiven", suspect).write();
      }
    }
    blamed = current.keySet();
  }

  private EventLog.Line blameLine(String event, Suspect suspect) {
    return context.log().line(event).with("kind", suspect.kind()).with("suspect", suspect);
  }

  int blamedCount(Suspect.Kind kind) {
    return (int) blamed.stream().filter(suspect -> suspect.kind() == kind).count();
  }

  /** Logs a changed answer for a failure domain of the fleet; callers may name any domain. */
  void logAddresses(FailureDomain callers, List<Endpoint> addresses) {
    boolean known =
        context.fleet().members().all().stream()
            .anyMatch(member -> member.domain().equals(callers));
    if (known && !addresses.equals(namedAddresses.put(callers, addresses))) {
      context.log().line("directory").with("domain", callers).with("addresses", addresses).write();
    }
  }

  /** Samples what the teams of the fleet got, and logs those that got much less than they could. */
  void logShares() {
    long now = context.advanceTime();
    shares.sample(now);
    Set<TeamName> teams = context.fleet().table().map(RoutingTable::teams).orElse(Set.of());
    List<TeamShareMonitor.TeamShare> behind =
        shares.shares(teams).stream()
            .filter(share -> share.ratio() < LOGGED_SHARE)
            .limit(MAX_TEAMS)
            .toList();
    if (!behind.isEmpty()) {
      context.log().line("teams_behind").with("teams", behind).write();
    }
  }

  /** Logs how late the event loop was, if new connections and requests had to wait for it. */
  void logLoopDelay(Duration maxDelay) {
    if (maxDelay.compareTo(LOGGED_DELAY) > 0) {
      context
          .log()
          .line("event_loop_late")
          .with("max_delay_ms", maxDelay.toMillis())
          .with("accepted_connections", context.acceptedConnections())
          .with("open_connections", context.connections().size())
          .with("requests", context.scheduling().taskCount())
          .with("waiting", context.scheduling().service().waitingCount())
          .write();
    }
  }

  /** Logs which teams wait at this scheduler, and how their usage compares with the largest. */
  void logQueues() {
    context.advanceTime();
    SchedulerService service = context.scheduling().service();
    if (service.waitingCount() > 0) {
      context
          .log()
          .line("queue")
          .with("waiting", service.waitingCount())
          .with("granted", service.grantedCount())
          .with("teams", service.queues().stream().limit(MAX_TEAMS).toList())
          .write();
    }
  }
}
