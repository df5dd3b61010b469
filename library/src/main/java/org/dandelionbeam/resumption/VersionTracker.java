package org.dandelionbeam.resumption;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.dandelionbeam.routing.ServiceName;
import org.dandelionbeam.routing.SoftwareVersion;
import org.dandelionbeam.routing.VersionScope;

/**
 * Which software versions of a service streams may have begun at, as known to one router. Not
 * thread-safe.
 *
 * <p>The store has a record of each such version. A router begins no stream that may be resumed at
 * a version before the store has acknowledged that router's own write of the record. A record is
 * removed only if nobody has written it, and no upstream of the version was seen, for much longer
 * than a stream lives. So, while there is one record alone, each stream began at its version; while
 * there are several, the origin of each stream is recorded too, and one without a record has an
 * unknown origin.
 *
 * <p>A store that was restored from a copy may lack records. They are kept apart by era, so that a
 * restoration leaves several records until those of the earlier era are old enough.
 */
public final class VersionTracker implements VersionScope {
  /** Much longer than a stream lives, or a router goes on that hears neither store nor peers. */
  public static final Duration RETIREMENT_AGE = Duration.ofMinutes(10);

  /** A router whose calls have failed for so long begins no streams that may be resumed. */
  static final Duration MAX_CONTACT_AGE = Duration.ofMinutes(5);

  private static final Duration REFRESH_INTERVAL = Duration.ofSeconds(30);

  /** Much shorter than a caller waits, and long enough for an answer of a store that is slow. */
  private static final Duration RETRY_INTERVAL = Duration.ofMillis(300);

  private final Map<ServiceName, Versions> services = new HashMap<>();

  private VersionTracker() {}

  /**
   * Creates a tracker that knows nothing.
   *
   * @return the tracker
   */
  public static VersionTracker create() {
    return new VersionTracker();
  }

  /** A call to the store that the router has to make, and to report the outcome of. */
  public sealed interface Call {

    /**
     * Writes the record of a version, whether it exists or not.
     *
     * @param service the service
     * @param era era of the store
     * @param version the version
     */
    record Confirm(ServiceName service, long era, SoftwareVersion version) implements Call {}

    /**
     * Reads all records of a service.
     *
     * @param service the service
     */
    record Read(ServiceName service) implements Call {}

    /**
     * Removes a record if it is unchanged.
     *
     * @param record the record as it was read
     */
    record Remove(VersionRecord record) implements Call {}
  }

  /**
   * Takes over the versions of the known upstreams and determines the calls that are due; to be
   * called several times a second.
   *
   * @param present versions of the known upstreams, by each service with streams that may be
   *     resumed
   * @param era era of the store
   * @param nowNanos monotonic time
   * @return calls to the store
   */
  public List<Call> update(
      Map<ServiceName, Set<SoftwareVersion>> present, long era, long nowNanos) {
    List<Call> calls = new ArrayList<>();
    services.keySet().retainAll(present.keySet());
    present.forEach(
        (service, versions) ->
            services
                .computeIfAbsent(service, Versions::new)
                .update(versions, era, nowNanos, calls));
    return calls;
  }

  private Optional<Versions> find(ServiceName service) {
    return Optional.ofNullable(services.get(requireNonNull(service, "service")));
  }

  /**
   * Records that a {@link Call.Confirm} has succeeded; one that fails is repeated.
   *
   * @param call the call, which the store has acknowledged
   * @param nowNanos monotonic time
   */
  public void recordConfirmed(Call.Confirm call, long nowNanos) {
    find(call.service()).ifPresent(versions -> versions.confirm(call, nowNanos));
  }

  /**
   * Records what the store has.
   *
   * @param service the service
   * @param records all records of the service
   * @param nowNanos monotonic time
   */
  public void recordRead(ServiceName service, Collection<VersionRecord> records, long nowNanos) {
    find(service).ifPresent(versions -> versions.read(records, nowNanos));
  }

  /** Tells whether the store has acknowledged this router's write of the version's record. */
  @Override
  public boolean mayBegin(ServiceName service, SoftwareVersion version, long nowNanos) {
    return find(service).filter(known -> known.mayBegin(version, nowNanos)).isPresent();
  }

  /**
   * Tells whether the origin of a stream has to be recorded.
   *
   * @param origin what began the stream
   * @return false if its version is known to be the only one
   */
  public boolean mustRecord(StreamOrigin origin) {
    return !onlyVersion(origin.service()).equals(Optional.of(origin.version()));
  }

  /**
   * Returns the only version that streams may have begun at, by what this router has read.
   *
   * @param service the service
   * @return the version, empty if there are several or none is known
   */
  public Optional<SoftwareVersion> onlyVersion(ServiceName service) {
    return find(service).flatMap(Versions::only);
  }

  /**
   * Returns the only version among the records of a service.
   *
   * @param records all records of the service
   * @param era era of the store
   * @return the version, empty if there are several, none, or only those of an earlier era
   */
  public static Optional<SoftwareVersion> onlyVersion(Collection<VersionRecord> records, long era) {
    return records.size() == 1
        ? records.stream()
            .filter(record -> record.era() == era)
            .map(VersionRecord::version)
            .findFirst()
        : Optional.empty();
  }

  /**
   * Returns the number of records of all services, by what this router has read.
   *
   * @return number of versions that streams may have begun at
   */
  public int recordCount() {
    return services.values().stream().mapToInt(versions -> versions.records.size()).sum();
  }

  /** The versions of one service. */
  private static final class Versions {
    private final ServiceName service;
    private final Map<SoftwareVersion, Long> confirmedEra = new HashMap<>();
    private final Map<SoftwareVersion, Long> triedNanos = new HashMap<>();
    private final Map<VersionRecord, Long> records = new HashMap<>();
    private final Map<SoftwareVersion, Long> lastPresentNanos = new HashMap<>();
    private final Map<VersionRecord, Long> removalTriedNanos = new HashMap<>();
    private Set<SoftwareVersion> present = Set.of();
    private long era;
    private long firstNanos;
    private boolean started;
    private boolean everRead;
    private long readNanos;
    private OptionalLong readTriedNanos = OptionalLong.empty();
    private OptionalLong contactNanos = OptionalLong.empty();

    /** Number of events that call for another read, in all and before the last two reads. */
    private int changes;

    private int changesAtTry;
    private int changesRead;

    Versions(ServiceName service) {
      this.service = service;
    }

    void update(Set<SoftwareVersion> versions, long newEra, long now, List<Call> calls) {
      if (!started) {
        started = true;
        firstNanos = now;
      }
      era = newEra;
      changes += versions.equals(present) ? 0 : 1;
      present = Set.copyOf(versions);
      confirmedEra.keySet().retainAll(present);
      triedNanos.keySet().retainAll(present);
      present.forEach(version -> lastPresentNanos.put(version, now));
      confirmDue(now, calls);
      readDue(now, calls);
      removeDue(now, calls);
    }

    private void confirmDue(long now, List<Call> calls) {
      for (SoftwareVersion version : present) {
        boolean confirmed = confirmedEra.getOrDefault(version, -1L) == era;
        if (!confirmed && isDue(triedNanos.get(version), RETRY_INTERVAL, now)) {
          triedNanos.put(version, now);
          calls.add(new Call.Confirm(service, era, version));
        }
      }
    }

    private static boolean isDue(Long lastNanos, Duration interval, long now) {
      return lastNanos == null || now - lastNanos >= interval.toNanos();
    }

    void confirm(Call.Confirm call, long now) {
      if (present.contains(call.version()) && call.era() == era) {
        confirmedEra.put(call.version(), call.era());
        contactNanos = OptionalLong.of(now);
        changes++;
      }
    }

    private void readDue(long now, List<Call> calls) {
      boolean wanted =
          !everRead || changes != changesRead || isDue(readNanos, REFRESH_INTERVAL, now);
      boolean triedLately =
          readTriedNanos.isPresent() && !isDue(readTriedNanos.getAsLong(), RETRY_INTERVAL, now);
      if (wanted && !triedLately) {
        readTriedNanos = OptionalLong.of(now);
        changesAtTry = changes;
        calls.add(new Call.Read(service));
      }
    }

    void read(Collection<VersionRecord> newRecords, long now) {
      everRead = true;
      readNanos = now;
      contactNanos = OptionalLong.of(now);
      changesRead = changesAtTry;
      records.keySet().retainAll(newRecords);
      newRecords.forEach(record -> records.putIfAbsent(record, now));
      removalTriedNanos.keySet().retainAll(newRecords);
    }

    /**
     * A record goes if it is superseded by a later era, or no upstream has its version. One that
     * can't be read is another writer's and stays.
     */
    private void removeDue(long now, List<Call> calls) {
      long ageNanos = RETIREMENT_AGE.toNanos();
      if (records.size() < 2 || now - firstNanos < ageNanos) {
        return;
      }
      records.forEach(
          (record, seenNanos) -> {
            long lastNanos = lastPresentNanos.getOrDefault(record.version(), firstNanos);
            boolean unused = record.era() < era || now - lastNanos >= ageNanos;
            boolean removable = record.isReadable() && now - seenNanos >= ageNanos;
            boolean due = isDue(removalTriedNanos.get(record), REFRESH_INTERVAL, now);
            if (unused && removable && due) {
              removalTriedNanos.put(record, now);
              changes++;
              calls.add(new Call.Remove(record));
            }
          });
    }

    boolean mayBegin(SoftwareVersion version, long now) {
      return confirmedEra.containsKey(version)
          && contactNanos.isPresent()
          && now - contactNanos.getAsLong() < MAX_CONTACT_AGE.toNanos();
    }

    Optional<SoftwareVersion> only() {
      Set<SoftwareVersion> known = new HashSet<>(present);
      records.keySet().forEach(record -> known.add(record.version()));
      return known.size() == 1 ? onlyVersion(records.keySet(), era) : Optional.empty();
    }
  }
}
