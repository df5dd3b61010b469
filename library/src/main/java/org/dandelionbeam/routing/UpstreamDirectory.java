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

  private final Map<InstanceId, Tracked> tracked = new HashMap<>();
  private final Map<ServiceName, List<UpstreamInstance>> usableByService = new HashMap<>();
  private final Set<FailureDomain> evacuated = new HashSet<>();
  private long storeUnreliableUntilNanos;
  private boolean storeHasFailed;
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
   * Adds or updates an upstream, unless a later start of it is known.
   *
   * @param instance entry of the upstream
   * @param nowNanos monotonic time
   * @return true if this start of the upstream was not known
   */
  public boolean put(UpstreamInstance instance, long nowNanos) {
    Tracked known = tracked.get(instance.id());
    boolean newStart = known == null || known.instance.incarnation() < instance.incarnation();
    if (known != null && known.instance.incarnation() > instance.incarnation()) {
      return false;
    }
    long coldUntil = nowNanos + instance.coldRemaining().toNanos();
    if (!newStart) {
      coldUntil = Math.max(coldUntil, known.coldUntilNanos);
    }
    tracked.put(instance.id(), new Tracked(instance, coldUntil));
    recordChange();
    return newStart;
  }

  /**
   * Removes an upstream whose entry is gone, at once or after the grace period.
   *
   * @param id the upstream
   * @param nowNanos monotonic time
   */
  public void remove(InstanceId id, long nowNanos) {
    Tracked known = tracked.get(id);
    if (known == null) {
      return;
    }
    if (storeHasFailed && nowNanos - storeUnreliableUntilNanos < 0 && !known.instance.draining()) {
      long grace = Math.min(REMOVAL_GRACE.toNanos(), storeUnreliableUntilNanos - nowNanos);
      known.removeAtNanos = Math.min(known.removeAtNanos, nowNanos + grace);
    } else {
      tracked.remove(id);
      recordChange();
    }
  }

  private void recordChange() {
    revision++;
    usableByService.clear();
  }

  /**
   * Replaces the known entries by a full listing.
   *
   * @param listed all entries of upstreams
   * @param nowNanos monotonic time
   */
  public void replaceAll(Collection<UpstreamInstance> listed, long nowNanos) {
    Set<InstanceId> present = new HashSet<>();
    for (UpstreamInstance instance : listed) {
      present.add(instance.id());
      put(instance, nowNanos);
    }
    List.copyOf(tracked.keySet()).stream()
        .filter(id -> !present.contains(id))
        .forEach(id -> remove(id, nowNanos));
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
   * Removes the upstreams whose grace period is over.
   *
   * @param nowNanos monotonic time
   * @return the removed upstreams
   */
  public List<InstanceId> removeExpired(long nowNanos) {
    List<InstanceId> removed = new ArrayList<>();
    for (Iterator<Tracked> all = tracked.values().iterator(); all.hasNext(); ) {
      Tracked known = all.next();
      if (known.removeAtNanos != Long.MAX_VALUE && nowNanos - known.removeAtNanos >= 0) {
        removed.add(known.instance.id());
        all.remove();
        recordChange();
      }
    }
    return removed;
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
            .filter(known -> known.instance.domain().equals(domain))
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
      UpstreamInstance instance = known.instance;
      if (instance.service().equals(service)
          && !instance.draining()
          && !evacuated.contains(instance.domain())) {
        found.add(instance);
      }
    }
    return List.copyOf(found);
  }

  /**
   * Returns the upstream with a number.
   *
   * @param number number of the upstream
   * @return the upstream, empty if no known one has the number
   */
  public Optional<UpstreamInstance> find(int number) {
    return tracked.values().stream()
        .map(known -> known.instance)
        .filter(instance -> instance.number() == number)
        .findFirst();
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
    return known != null && nowNanos - known.coldUntilNanos < 0;
  }

  /**
   * Returns all known upstreams.
   *
   * @return the upstreams, including draining ones
   */
  public List<UpstreamInstance> all() {
    return tracked.values().stream().map(known -> known.instance).toList();
  }

  /** An upstream with its inferred state. */
  private static final class Tracked {
    private final UpstreamInstance instance;
    private long coldUntilNanos;
    private long removeAtNanos = Long.MAX_VALUE;

    Tracked(UpstreamInstance instance, long coldUntilNanos) {
      this.instance = instance;
      this.coldUntilNanos = coldUntilNanos;
    }

    void extendCold(long untilNanos) {
      coldUntilNanos = Math.max(coldUntilNanos, untilNanos);
    }
  }
}
