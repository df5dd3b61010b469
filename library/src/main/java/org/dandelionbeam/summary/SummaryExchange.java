package org.dandelionbeam.summary;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.dandelionbeam.routing.DepartureReport;
import org.dandelionbeam.routing.FleetCounters;
import org.dandelionbeam.routing.FleetMembers.Member;
import org.dandelionbeam.routing.FleetState;
import org.dandelionbeam.routing.LoopTime;
import org.dandelionbeam.routing.Pause;
import org.dandelionbeam.routing.RouterName;
import org.dandelionbeam.routing.StoreVersions;
import org.dandelionbeam.routing.TeamUsage;
import org.dandelionbeam.summary.SummaryMessage.FleetReport;
import org.dandelionbeam.summary.SummaryMessage.RelayReport;
import org.dandelionbeam.summary.SummaryMessage.RouterReport;

/**
 * Reports the state of this router and learns that of the whole fleet.
 *
 * <p>Each router reports to the relay of its failure domain, which is selected by rendezvous
 * hashing. A relay sends the sum of these reports to the relays of all domains, and the sum over
 * all relays back to its routers. Any router that receives reports acts as a relay, so a relay that
 * fails is replaced as soon as its routers select the next one. Not thread-safe.
 */
public final class SummaryExchange {
  /** A report that is older than this no longer counts in the sums. */
  private static final Duration REPORT_MAX_AGE = Duration.ofMillis(700);

  /**
   * A router that stood still is no relay for this time: until it has read, and left behind, the
   * messages that waited in its sockets.
   */
  private static final Duration SILENCE_AFTER_PAUSE = Duration.ofMillis(150);

  /** Interval in which a relay looks for routers that may use another one. */
  private static final Duration SEARCH_INTERVAL = Duration.ofMillis(400);

  /** Relays of each domain that get the sums, so that the second one can take over. */
  private static final int RELAYS_PER_DOMAIN = 2;

  /** Reports of this router that a fleet report may refer to; more than two seconds. */
  private static final int MAX_SENT_REPORTS = 24;

  private final FleetState fleet;
  private final BooleanSupplier serving;
  private final Map<RouterName, Received<RouterReport>> routerReports = new HashMap<>();
  private final Map<RouterName, Received<RelayReport>> relayReports = new HashMap<>();
  private final RelayLink relay;
  private final Map<Long, Sent> sent =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Sent> eldest) {
          return size() > MAX_SENT_REPORTS;
        }
      };

  private long sequence;
  private LoopTime lastTick = new LoopTime(0, 0);
  private long searchedNanos;
  private int searches;
  private Optional<Pause> lastPause = Optional.empty();
  private LoopTime resumed = lastTick;
  private boolean pausedLately;
  private OptionalLong trustedSinceNanos = OptionalLong.empty();

  private SummaryExchange(FleetState fleet, BooleanSupplier serving) {
    this.fleet = requireNonNull(fleet, "fleet");
    this.serving = requireNonNull(serving, "serving");
    relay = new RelayLink(fleet.members());
  }

  /**
   * Creates an exchange that has received nothing.
   *
   * @param fleet state of the fleet, which is updated
   * @param serving tells whether this router accepts requests
   * @return the exchange
   */
  public static SummaryExchange of(FleetState fleet, BooleanSupplier serving) {
    return new SummaryExchange(fleet, serving);
  }

  /**
   * A message to be sent.
   *
   * @param to router that it is sent to
   * @param message the message
   */
  public record Outgoing(Member to, SummaryMessage message) {}

  /**
   * Reports the state of this router; to be called several times a second.
   *
   * @return messages to be sent
   */
  public List<Outgoing> tick() {
    long now = fleet.nowNanos();
    lastTick = lastTick.next(now);
    forgetReportsOfPause(now);
    routerReports.values().removeIf(report -> report.isOlderThan(REPORT_MAX_AGE, now));
    relayReports.values().removeIf(report -> report.isOlderThan(REPORT_MAX_AGE, now));
    fleet.members().removeUnregistered(now);
    RouterReport own = ownReport(now);
    List<Outgoing> messages = new ArrayList<>();
    Member selected = relay.select(lastTick);
    boolean isRelay = selected.equals(self());
    if (isRelay) {
      routerReports.put(self().name(), new Received<>(own, now));
    } else {
      routerReports.remove(self().name());
      messages.add(new Outgoing(selected, own));
    }
    if (!routerReports.isEmpty() && !pausedLately) {
      relayReports(now, messages);
    }
    if (isRelay && !pausedLately) {
      searchOtherRelay(own, now, messages);
    }
    return messages;
  }

  /**
   * Forgets what was received before a pause of this process, or waited in its sockets meanwhile.
   * Its age is not known, so that others must not be told of it.
   */
  private void forgetReportsOfPause(long now) {
    Optional<Pause> pause = fleet.lastPause();
    if (!pause.equals(lastPause)) {
      lastPause = pause;
      resumed = lastTick;
      pausedLately = true;
      fleet.members().recordPause(now);
    }
    if (pausedLately) {
      routerReports.clear();
      relayReports.clear();
      trustedSinceNanos = OptionalLong.of(now);
      pausedLately = !resumed.isOverdue(SILENCE_AFTER_PAUSE, lastTick);
    }
  }

  private Member self() {
    return fleet.members().self();
  }

  private RouterReport ownReport(long now) {
    sequence++;
    FleetCounters counters =
        new FleetCounters(
            fleet.usage().localUsage(now),
            fleet.usage().localDemand(now),
            fleet.retryBudget().localCounts(now),
            fleet.crashBlame().localCounts(now));
    Set<Integer> available = fleet.members().availableNumbers(now);
    sent.put(sequence, new Sent(counters, available, now));
    return new RouterReport(
        self(),
        sequence,
        serving.getAsBoolean(),
        RouterSetDigest.of(available),
        departures(now),
        fleet.crashBlame().blamed(now),
        fleet.rateLimits().known(now),
        fleet.storeVersions(),
        counters);
  }

  private DepartureReport departures(long now) {
    return fleet.upstreams().departures().report(fleet.storeVersions().era(), now);
  }

  private void relayReports(long now, List<Outgoing> messages) {
    RelayReport sum = relayReport(now);
    for (Member other : otherRelays(now)) {
      messages.add(new Outgoing(other, sum));
    }
    FleetReport total = fleetReport(sum, now);
    recordStoreFailure(total, now);
    Set<Integer> available = reportedAvailable(now);
    long digest = RouterSetDigest.of(available);
    routerReports.forEach(
        (name, report) -> {
          if (name.equals(self().name())) {
            apply(total.counters(), report.message.sequence(), now);
          } else {
            boolean agreed = report.message.availableDigest() == digest;
            Optional<Set<Integer>> listed = agreed ? Optional.empty() : Optional.of(available);
            messages.add(
                new Outgoing(report.message.sender(), answerTo(report.message, listed, total)));
          }
        });
  }

  /** Returns the routers that this relay may tell others to be available. */
  private Set<Integer> reportedAvailable(long now) {
    long oldest = now - REPORT_MAX_AGE.toNanos();
    long trusted = trustedSinceNanos.orElse(oldest);
    return fleet.members().reportedAvailable(trusted - oldest > 0 ? trusted : oldest, now);
  }

  private static FleetReport answerTo(
      RouterReport report, Optional<Set<Integer>> available, FleetReport total) {
    return new FleetReport(
        total.relay(),
        report.sequence(),
        available,
        total.unavailable(),
        total.readsStore(),
        total.departures(),
        total.blamed(),
        total.limits(),
        total.versions(),
        total.counters());
  }

  private Set<Member> otherRelays(long now) {
    Set<Member> relays = new HashSet<>();
    fleet.members().all().stream()
        .map(Member::domain)
        .distinct()
        .forEach(
            domain ->
                relay.candidates(domain, now).stream()
                    .limit(RELAYS_PER_DOMAIN)
                    .forEach(relays::add));
    relayReports.keySet().forEach(name -> fleet.members().find(name).ifPresent(relays::add));
    relays.remove(self());
    return relays;
  }

  private RelayReport relayReport(long now) {
    FleetCounters.Sum sum = new FleetCounters.Sum();
    Set<Integer> available = new HashSet<>();
    Set<Integer> leaving = new HashSet<>();
    StoreVersions versions = fleet.storeVersions();
    for (Received<RouterReport> report : routerReports.values()) {
      RouterReport message = report.message;
      sum.add(message.counters().decayed(TeamUsage.decay(now - report.atNanos)));
      versions = versions.newest(message.versions());
      (message.serving() ? available : leaving).add(message.sender().name().number());
    }
    return new RelayReport(
        self().name(),
        available,
        leaving,
        fleet.readsStore(),
        departures(now),
        fleet.crashBlame().blamed(now),
        fleet.rateLimits().known(now),
        versions,
        sum.total());
  }

  private FleetReport fleetReport(RelayReport own, long now) {
    FleetCounters.Sum sum = new FleetCounters.Sum();
    sum.add(own.counters());
    StoreVersions versions = own.versions();
    boolean readsStore = own.readsStore();
    for (Received<RelayReport> report : relayReports.values()) {
      sum.add(report.message.counters().decayed(TeamUsage.decay(now - report.atNanos)));
      versions = versions.newest(report.message.versions());
      readsStore |= report.message.readsStore();
    }
    return new FleetReport(
        self().name(),
        0,
        Optional.empty(),
        fleet.members().unavailable(now),
        readsStore,
        departures(now),
        fleet.crashBlame().blamed(now),
        fleet.rateLimits().known(now),
        versions,
        sum.total());
  }

  /**
   * Reports to each router of the domain in turn that this relay doesn't know to be available. They
   * may have another relay, which learns of this one that way.
   */
  private void searchOtherRelay(RouterReport own, long now, List<Outgoing> messages) {
    if (now - searchedNanos < SEARCH_INTERVAL.toNanos()) {
      return;
    }
    List<Member> missing =
        relay.ranked(self().domain()).stream()
            .filter(member -> !fleet.members().isAvailable(member.name().number(), now))
            .filter(member -> !member.equals(self()))
            .toList();
    if (!missing.isEmpty()) {
      searchedNanos = now;
      searches++;
      messages.add(new Outgoing(missing.get(searches % missing.size()), own));
    }
  }

  /**
   * Tells whether a relay tells this router of new versions of the store's data.
   *
   * @return false if this router is a relay itself, has heard of none lately, or no relay can read
   *     the store
   */
  public boolean isInformed() {
    return routerReports.isEmpty() && relay.isInformed(lastTick.at(fleet.nowNanos()));
  }

  /**
   * Tells whether this router is the one relay that speaks for the fleet, where one is enough.
   *
   * @return true for the relay with the first name of those that this one hears of
   */
  public boolean isFirstRelay() {
    RouterName own = self().name();
    return relay.isSelf()
        && relayReports.keySet().stream().allMatch(other -> own.compareTo(other) < 0);
  }

  /**
   * Handles a message of another router.
   *
   * @param message the message
   */
  public void receive(SummaryMessage message) {
    long now = fleet.nowNanos();
    fleet.upstreams().recordDepartures(message.departures(), fleet.storeVersions().era(), now);
    fleet.crashBlame().recordBlamed(message.blamed(), now);
    fleet.rateLimits().recordReported(message.limits(), now);
    fleet.staleStateDetector().recordPeerVersions(message.versions());
    if (message instanceof RouterReport report) {
      receiveRouterReport(report, now);
    } else if (message instanceof RelayReport report) {
      receiveRelayReport(report, now);
    } else if (message instanceof FleetReport report) {
      receiveFleetReport(report, now);
    }
  }

  private void receiveRouterReport(RouterReport report, long now) {
    fleet.members().recordReport(report.sender(), report.serving(), now);
    routerReports.put(report.sender().name(), new Received<>(report, now));
  }

  private void receiveRelayReport(RelayReport report, long now) {
    report.serving().forEach(number -> fleet.members().recordPresent(number, true, now));
    report.leaving().forEach(number -> fleet.members().recordPresent(number, false, now));
    relayReports.put(report.relay(), new Received<>(report, now));
  }

  private void receiveFleetReport(FleetReport report, long now) {
    recordStoreFailure(report, now);
    relay.recordAnswer(report.relay(), report.readsStore(), lastTick.at(now));
    boolean isRelayOfOthers =
        routerReports.keySet().stream().anyMatch(n -> !n.equals(self().name()));
    if (!isRelayOfOthers) {
      recordAvailability(report, now);
      apply(report.counters(), report.sequence(), now);
    }
  }

  private void recordAvailability(FleetReport report, long now) {
    Sent own = sent.get(report.sequence());
    Set<Integer> available =
        report.available().orElseGet(() -> own == null ? Set.of() : own.available);
    fleet.members().recordFleetReport(available, report.unavailable(), now);
  }

  /**
   * Entries of upstreams may have lapsed if no relay can read the store; what some can't read is
   * their own trouble.
   */
  private void recordStoreFailure(FleetReport report, long now) {
    if (!report.readsStore()) {
      fleet.upstreams().recordStoreFailure(now);
    }
  }

  /** Takes over the sums without this router's own part, which it knows more precisely. */
  private void apply(FleetCounters total, long ownSequence, long now) {
    Sent own = sent.get(ownSequence);
    if (own == null) {
      return;
    }
    FleetCounters part = own.counters.decayed(TeamUsage.decay(now - own.atNanos));
    FleetCounters others = total.minus(part);
    fleet.usage().recordOthers(others, now);
    fleet.retryBudget().recordOthers(others.retries(), now);
    fleet.crashBlame().recordTotal(total.crashes(), now);
  }

  /** What a report of this router contained, which a fleet report refers to. */
  private record Sent(FleetCounters counters, Set<Integer> available, long atNanos) {}

  /** A message and the time of its receipt. */
  private record Received<T>(T message, long atNanos) {
    boolean isOlderThan(Duration age, long nowNanos) {
      return nowNanos - atNanos > age.toNanos();
    }
  }
}
