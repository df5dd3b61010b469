package org.dandelionbeam.summary;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.dandelionbeam.base.FailureDomain;
import org.dandelionbeam.routing.FleetMembers;
import org.dandelionbeam.routing.FleetMembers.Member;
import org.dandelionbeam.routing.LoopTime;
import org.dandelionbeam.routing.RouterName;

/** The relay that a router reports to, and the candidates for that. Not thread-safe. */
final class RelayLink {
  /** A relay answers each report; one that is silent for this time is replaced. */
  private static final Duration RELAY_TIMEOUT = Duration.ofMillis(450);

  /** Time after which a relay that was silent is tried again. */
  private static final Duration RELAY_RETRY_DELAY = Duration.ofSeconds(4);

  private final FleetMembers members;
  private final Map<RouterName, Long> avoidedUntilNanos = new HashMap<>();
  private final Map<FailureDomain, List<Member>> ranked = new HashMap<>();
  private long rankedRevision = -1;
  private RouterName current;
  private LoopTime heard = new LoopTime(0, 0);
  private boolean everHeard;
  private boolean anyRelayReadsStore;

  RelayLink(FleetMembers members) {
    this.members = requireNonNull(members, "members");
    current = members.self().name();
  }

  /** Returns the preferred relay of this router's domain that is not silent. */
  Member select(LoopTime now) {
    if (!isSelf() && heard.isOverdue(RELAY_TIMEOUT, now)) {
      avoidedUntilNanos.put(current, now.nanos() + RELAY_RETRY_DELAY.toNanos());
    }
    avoidedUntilNanos.values().removeIf(until -> now.nanos() - until >= 0);
    Member selected =
        candidates(members.self().domain(), now.nanos()).stream()
            .filter(member -> !avoidedUntilNanos.containsKey(member.name()))
            .findFirst()
            .orElse(members.self());
    if (!selected.name().equals(current)) {
      current = selected.name();
      heard = now;
      everHeard = false;
    }
    return selected;
  }

  /** Tells whether this router is the relay. */
  boolean isSelf() {
    return current.equals(members.self().name());
  }

  /** Records an answer of a relay, which may be an earlier one. */
  void recordAnswer(RouterName relay, boolean readsStore, LoopTime now) {
    if (relay.equals(current)) {
      heard = now;
      everHeard = true;
      anyRelayReadsStore = readsStore;
    }
  }

  /** Tells whether another router is the relay, answers, and knows of one that reads the store. */
  boolean isInformed(LoopTime now) {
    return !isSelf() && everHeard && anyRelayReadsStore && !heard.isOverdue(RELAY_TIMEOUT, now);
  }

  /**
   * Returns the members of a domain that are not known to be unavailable or, if there are none
   * besides this router, all that are registered; the preferred relay first.
   */
  List<Member> candidates(FailureDomain domain, long nowNanos) {
    List<Member> registered = ranked(domain);
    List<Member> candidates =
        registered.stream()
            .filter(member -> !members.isUnavailable(member.name().number(), nowNanos))
            .toList();
    boolean anyOther = candidates.stream().anyMatch(member -> !member.equals(members.self()));
    return anyOther ? candidates : registered;
  }

  /** Returns the members of a domain, the preferred relay first. */
  List<Member> ranked(FailureDomain domain) {
    if (rankedRevision != members.revision()) {
      rankedRevision = members.revision();
      ranked.clear();
    }
    return ranked.computeIfAbsent(domain, key -> RelaySelector.ranked(key, members.all()));
  }
}
