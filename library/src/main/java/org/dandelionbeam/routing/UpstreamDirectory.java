package org.dandelionbeam.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.dandelionbeam.base.FailureDomain;

/**
 * The known upstreams, according to their entries in the platform's key-value store.
 *
 * <p>An entry that vanishes shortly after a failure of the store may have expired although the
 * upstream is alive, so the upstream stays in use for a grace period. Not thread-safe.
 */
public final class UpstreamDirectory {
  /**
   * Expired entries of live upstreams are back within about two seconds after the store has
   * recovered.
   */
  static final Duration LAPSE_GRACE = Duration.ofMillis(2_200);

  /**
   * An upstream that shut down during the failure serves only for its drain time; the grace period
   * ends well before.
   */
  static final Duration REMOVAL_GRACE = Duration.ofMillis(1_200);

  /** Interval in which {@link #removeExpired} has to be called. */
  public static final Duration EXPIRY_INTERVAL = Duration.ofMillis(100);

  /** Longer than a restored copy of the store can be behind. */
  private static final Duration REMOVED_ENTRY_MEMORY = Duration.ofSeconds(60);

  private final Map<InstanceId, Tracked> tracked = new HashMap<>();
  private final Map<InstanceId, Removed> removed = new HashMap<>();
  private final UpstreamDepartures departures = new UpstreamDepartures();
  private final Map<ServiceName, List<UpstreamInstance>> usableByService = new HashMap<>();
  private final Set<FailureDomain> evacuated = new HashSet<>();
  private long storeUnreliableUntilNanos;
  private boolean storeHasFailed;
  private long restoreGraceUntilNanos;
  private boolean storeWasRestored;
  private long revision;

  private UpstreamDirectory() {}

  /**
   * Returns an empty directory.
   *
   * @return the directory
   */
  public static UpstreamDirectory create() {
    return new UpstreamDirectory();
  }

  /**
   * Adds or updates an upstream, unless a later entry of it is known. An older one comes from a
   * store that was restored from a copy.
   *
   * @param entry entry of the upstream
   * @param nowNanos monotonic time
   * @return true if this start of the upstream was not known
   */
  public boolean put(UpstreamEntry entry, long nowNanos) {
    InstanceId id = entry.instance().id();
    Tracked known = tracked.get(id);
    if (isOutdated(entry, known)) {
      return false;
    }
    removed.remove(id);
    boolean newStart =
        known == null || known.instance().incarnation() < entry.instance().incarnation();
    long coldUntil = nowNanos + entry.instance().coldRemaining().toNanos();
    if (!newStart) {
      coldUntil = Math.max(coldUntil, known.coldUntilNanos);
    }
    Tracked updated = new Tracked(entry, coldUntil);
    updated.mayHaveRestarted = !newStart && known.mayHaveRestarted;
    tracked.put(id, updated);
    if (entry.instance().draining()) {
      departures.recordEntry(entry.instance().number(), entry.revision(), nowNanos);
    }
    recordChange();
    return newStart;
  }

  private boolean isOutdated(UpstreamEntry entry, Tracked known) {
    if (known != null) {
      return entry.isOlderThan(known.entry);
    }
    Removed last = removed.get(entry.instance().id());
    return last != null && (entry.isOlderThan(last.entry) || entry.isCopyOf(last.entry));
  }

  /**
   * Removes an upstream whose entry is gone, at once or after the grace period.
   *
   * @param id the upstream
   * @param asOfRevision revision of the store as of which the entry is gone
   * @param nowNanos monotonic time
   * @return how long it stays in use, zero if it doesn't
   */
  public Duration remove(InstanceId id, long asOfRevision, long nowNanos) {
    Tracked known = tracked.get(id);
    if (known == null) {
      return Duration.ZERO;
    }
    long grace = mayReturn(known) ? removalGraceNanos(nowNanos) : 0;
    if (grace > 0) {
      known.removeAtNanos = Math.min(known.removeAtNanos, nowNanos + grace);
      known.goneAsOf = asOfRevision;
      return Duration.ofNanos(known.removeAtNanos - nowNanos);
    }
    tracked.remove(id);
    known.goneAsOf = asOfRevision;
    recordRemoval(known, nowNanos);
    return Duration.ZERO;
  }

  /** Tells whether an upstream may write its entry again, as nobody knows that it leaves. */
  private boolean mayReturn(Tracked known) {
    return !known.instance().draining() && !hasLeft(known);
  }

  private boolean hasLeft(Tracked known) {
    return departures.hasLeft(known.instance().number(), known.entry.revision());
  }

  private long removalGraceNanos(long nowNanos) {
    if (storeWasRestored && nowNanos - restoreGraceUntilNanos < 0) {
      return restoreGraceUntilNanos - nowNanos;
    }
    return storeHasFailed
        ? Math.min(REMOVAL_GRACE.toNanos(), storeUnreliableUntilNanos - nowNanos)
        : 0;
  }

  private void recordRemoval(Tracked known, long nowNanos) {
    removed.put(known.instance().id(), new Removed(known.entry, nowNanos));
    departures.recordEntry(known.instance().number(), known.goneAsOf, nowNanos);
    recordChange();
  }

  private void recordChange() {
    revision++;
    usableByService.clear();
  }

  /**
   * Replaces the known entries by a full listing.
   *
   * @param listed all entries of upstreams
   * @param asOfRevision revision of the store that the listing is of
   * @param nowNanos monotonic time
   * @return the upstreams whose entries are gone, and how long each stays in use
   */
  public Map<InstanceId, Duration> replaceAll(
      Collection<UpstreamEntry> listed, long asOfRevision, long nowNanos) {
    Set<InstanceId> present = new HashSet<>();
    for (UpstreamEntry entry : listed) {
      present.add(entry.instance().id());
      put(entry, nowNanos);
    }
    Map<InstanceId, Duration> gone = new HashMap<>();
    List.copyOf(tracked.keySet()).stream()
        .filter(id -> !present.contains(id))
        .forEach(id -> gone.put(id, remove(id, asOfRevision, nowNanos)));
    return gone;
  }

  /**
   * Records a failed call to the store; entries that vanish soon after may only have expired.
   *
   * @param nowNanos monotonic time
   */
  public void recordStoreFailure(long nowNanos) {
    storeHasFailed = true;
    storeUnreliableUntilNanos = nowNanos + LAPSE_GRACE.toNanos();
  }

  /**
   * Records that the store was restored from a copy. Entries that the copy lacks are written again
   * if their upstreams are alive.
   *
   * @param nowNanos monotonic time
   */
  public void recordStoreRestored(long nowNanos) {
    storeWasRestored = true;
    departures.forgetRevisions();
    tracked.values().forEach(Tracked::forgetRevision);
    restoreGraceUntilNanos = nowNanos + LAPSE_GRACE.toNanos();
  }

  /**
   * Removes the upstreams whose grace period is over.
   *
   * @param nowNanos monotonic time
   * @return the removed upstreams
   */
  public List<InstanceId> removeExpired(long nowNanos) {
    List<InstanceId> expired = new ArrayList<>();
    for (Iterator<Tracked> all = tracked.values().iterator(); all.hasNext(); ) {
      Tracked known = all.next();
      if (known.removeAtNanos != Long.MAX_VALUE && nowNanos - known.removeAtNanos >= 0) {
        expired.add(known.instance().id());
        all.remove();
        recordRemoval(known, nowNanos);
      }
    }
    removed.values().removeIf(entry -> nowNanos - entry.atNanos() > REMOVED_ENTRY_MEMORY.toNanos());
    departures.forgetOld(start -> find(start).isPresent(), nowNanos);
    return expired;
  }

  /**
   * Records that an upstream has said in a response that it leaves. This start gets no more
   * requests, whatever its entries say.
   *
   * @param start number of the start
   * @param nowNanos monotonic time
   */
  public void recordLeaving(int start, long nowNanos) {
    if (departures.recordAnnouncement(start, nowNanos)) {
      recordChange();
    }
  }

  /**
   * Records what another router knows of upstreams that leave or are gone.
   *
   * @param report what the other router knows
   * @param era era of the store as known to this router
   * @param nowNanos monotonic time
   */
  public void recordDepartures(DepartureReport report, long era, long nowNanos) {
    if (departures.recordReport(report, era, start -> find(start).isPresent(), nowNanos)) {
      recordChange();
    }
  }

  /**
   * Returns the starts of upstreams that are known to leave or to be gone.
   *
   * @return the departures
   */
  public UpstreamDepartures departures() {
    return departures;
  }

  /**
   * Sets the failure domains that operators took out of service.
   *
   * @param domains all domains that are out of service
   * @param nowNanos monotonic time
   * @param coldStart how long the upstreams of a domain that returns to service count as cold
   */
  public void evacuate(Set<FailureDomain> domains, long nowNanos, Duration coldStart) {
    for (FailureDomain domain : evacuated) {
      if (!domains.contains(domain)) {
        tracked.values().stream()
            .filter(known -> known.instance().domain().equals(domain))
            .forEach(known -> known.extendCold(nowNanos + coldStart.toNanos()));
      }
    }
    evacuated.clear();
    evacuated.addAll(domains);
    recordChange();
  }

  /**
   * Returns the failure domains that are out of service.
   *
   * @return the domains
   */
  public Set<FailureDomain> evacuated() {
    return Set.copyOf(evacuated);
  }

  /**
   * Marks an upstream as cold.
   *
   * @param id the upstream
   * @param remaining how much longer it is cold
   * @param nowNanos monotonic time
   */
  public void markCold(InstanceId id, Duration remaining, long nowNanos) {
    Tracked known = tracked.get(id);
    if (known != null) {
      known.extendCold(nowNanos + remaining.toNanos());
    }
  }

  /**
   * Records that an upstream has crashed or could not be reached: it may start again under its id,
   * cold, without an entry that tells so. It counts as cold until it was reached, and for the time
   * that a start takes from then on, unless an entry tells of a new start.
   *
   * @param id the upstream
   */
  public void recordUnreachable(InstanceId id) {
    Tracked known = tracked.get(id);
    if (known != null) {
      known.mayHaveRestarted = true;
    }
  }

  /**
   * Records that an upstream was reached.
   *
   * @param id the upstream
   * @param coldStart how long an upstream of its service is cold after a start
   * @param nowNanos monotonic time
   */
  public void recordReached(InstanceId id, Duration coldStart, long nowNanos) {
    Tracked known = tracked.get(id);
    if (known != null && known.mayHaveRestarted) {
      known.mayHaveRestarted = false;
      known.extendCold(nowNanos + coldStart.toNanos());
    }
  }

  /**
   * Returns the upstreams of a service that may get requests.
   *
   * @param service the service
   * @return the upstreams, neither draining nor in a domain that is out of service
   */
  public List<UpstreamInstance> usable(ServiceName service) {
    return usableByService.computeIfAbsent(service, this::findUsable);
  }

  /**
   * Returns a number that grows with each change of the upstreams that may get requests.
   *
   * @return the number of changes so far
   */
  public long revision() {
    return revision;
  }

  private List<UpstreamInstance> findUsable(ServiceName service) {
    List<UpstreamInstance> found = new ArrayList<>();
    for (Tracked known : tracked.values()) {
      UpstreamInstance instance = known.instance();
      if (instance.service().equals(service)
          && !instance.draining()
          && !hasLeft(known)
          && !evacuated.contains(instance.domain())) {
        found.add(instance);
      }
    }
    return List.copyOf(found);
  }

  /**
   * Returns the upstream with an id.
   *
   * @param id id of the upstream
   * @return the upstream, empty if none is known
   */
  public Optional<UpstreamInstance> find(InstanceId id) {
    return Optional.ofNullable(tracked.get(id)).map(Tracked::instance);
  }

  /**
   * Returns an upstream with a number, which another one of another service may share.
   *
   * @param number number of the upstream
   * @return the upstream, empty if no known one has the number
   */
  public Optional<UpstreamInstance> find(int number) {
    return withNumber(number).findFirst();
  }

  /**
   * Returns the upstream of a service with a number.
   *
   * @param number number of the upstream
   * @param service the service
   * @return the upstream, empty if no known one of the service has the number
   */
  public Optional<UpstreamInstance> find(int number, ServiceName service) {
    return withNumber(number).filter(found -> found.service().equals(service)).findFirst();
  }

  private Stream<UpstreamInstance> withNumber(int number) {
    return tracked.values().stream()
        .map(Tracked::instance)
        .filter(instance -> instance.number() == number);
  }

  /**
   * Tells whether an upstream may get requests.
   *
   * @param instance the upstream
   * @return false if it drains, is gone or is in a domain that is out of service
   */
  public boolean isUsable(UpstreamInstance instance) {
    return usable(instance.service()).contains(instance);
  }

  /**
   * Tells whether an upstream is cold.
   *
   * @param id the upstream
   * @param nowNanos monotonic time
   * @return true while it can serve only a low request rate
   */
  public boolean isCold(InstanceId id, long nowNanos) {
    Tracked known = tracked.get(id);
    return known != null && (known.mayHaveRestarted || nowNanos - known.coldUntilNanos < 0);
  }

  /**
   * Returns all known upstreams.
   *
   * @return the upstreams, including draining ones
   */
  public List<UpstreamInstance> all() {
    return tracked.values().stream().map(Tracked::instance).toList();
  }

  /** An upstream with its inferred state. */
  private static final class Tracked {
    private UpstreamEntry entry;
    private long coldUntilNanos;
    private long removeAtNanos = Long.MAX_VALUE;
    private long goneAsOf;
    private boolean mayHaveRestarted;

    Tracked(UpstreamEntry entry, long coldUntilNanos) {
      this.entry = entry;
      this.coldUntilNanos = coldUntilNanos;
    }

    UpstreamInstance instance() {
      return entry.instance();
    }

    void forgetRevision() {
      entry = new UpstreamEntry(entry.instance(), entry.sequence(), 0);
    }

    void extendCold(long untilNanos) {
      coldUntilNanos = Math.max(coldUntilNanos, untilNanos);
    }
  }

  /** Last entry of an upstream that is gone. */
  private record Removed(UpstreamEntry entry, long atNanos) {}
}
