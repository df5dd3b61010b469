package org.dandelionbeam.routing;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** State of the fleet as known to one router. Confined to one thread. */
public final class FleetState {
  private final UpstreamDirectory upstreams = UpstreamDirectory.create();
  private final UpstreamHealth health = UpstreamHealth.create();
  private final LoadTracker loads = LoadTracker.create();
  private final TeamUsage usage = TeamUsage.create();
  private final CrashBlame crashBlame = CrashBlame.create();
  private final PrefixCacheModel prefixCaches = PrefixCacheModel.create();
  private final Map<ServiceName, PrefillRateEstimator> prefillRates = new HashMap<>();
  private final UpstreamRateLimiter rateLimiter;
  private final RateLimits rateLimits = RateLimits.create();
  private final RetryBudget retryBudget;
  private final FleetMembers members;
  private final StaleStateDetector staleStateDetector = StaleStateDetector.create();
  private final PauseDetector pauses = new PauseDetector();
  private StoreVersions storeVersions = StoreVersions.NONE;
  private final Set<StoreData> unreadableData = EnumSet.noneOf(StoreData.class);
  private final RouteHistory routeHistory = RouteHistory.create();
  private VersionScope versions = (service, version, now) -> false;
  private RoutingTable table;
  private long nowNanos;

  private FleetState(FleetLimits limits, FleetMembers members) {
    rateLimiter = UpstreamRateLimiter.of(limits);
    retryBudget = RetryBudget.of(limits, members.self().name().number());
    this.members = requireNonNull(members, "members");
  }

  /**
   * Creates the state of a router that has not read any data.
   *
   * @param limits limits for all routers together
   * @param members the routers of the fleet
   * @return the state
   */
  public static FleetState of(FleetLimits limits, FleetMembers members) {
    return new FleetState(limits, members);
  }

  /**
   * Brings a configuration into force if it is newer than the current one.
   *
   * @param newer the configuration
   * @return false if the current one is as new or newer
   */
  public boolean accept(RoutingTable newer) {
    if (table != null && newer.version() <= table.version()) {
      return false;
    }
    table = newer;
    routeHistory.record(newer);
    newer.engineMemoryTokens().ifPresent(prefixCaches::engineMemoryTokens);
    return true;
  }

  /**
   * Returns the configuration in force.
   *
   * @return the table, empty until one is loaded
   */
  public Optional<RoutingTable> table() {
    return Optional.ofNullable(table);
  }

  /**
   * Returns since when the routes of the configuration exist.
   *
   * @return the history
   */
  public RouteHistory routeHistory() {
    return routeHistory;
  }

  /**
   * Records the store revision of a change.
   *
   * @param data kind of data that was changed
   * @param revision revision of the store
   */
  public void recordChange(StoreData data, long revision) {
    storeVersions = storeVersions.with(data, revision);
  }

  /**
   * Records that this router has read all changes up to a store revision, which includes all
   * changes that peers had read at that time.
   *
   * @param data kind of data
   * @param asOf revision of the store
   */
  public void recordCurrent(StoreData data, long asOf) {
    unreadableData.remove(data);
    recordHandedOn(data, asOf);
  }

  /**
   * Records that a peer has handed on all changes up to a store revision, which says nothing about
   * this router's own calls to the store.
   *
   * @param data kind of data
   * @param asOf revision of the store
   */
  public void recordHandedOn(StoreData data, long asOf) {
    StoreVersions peers = staleStateDetector.newestPeerVersions();
    if (peers.era() == storeVersions.era()) {
      recordChange(data, Math.min(asOf, peers.of(data)));
    }
  }

  /**
   * Records the era that the store states. In a later era than the known one, the store has been
   * restored from a copy: all data has to be read again, and revisions of earlier eras no longer
   * count.
   *
   * @param era number of restorations of the store
   * @return true if the store was restored after this router had read from it
   */
  public boolean recordStoreEra(long era) {
    if (era <= storeVersions.era()) {
      return false;
    }
    boolean restored = !storeVersions.equals(StoreVersions.NONE);
    storeVersions = StoreVersions.ofEra(era);
    if (restored) {
      upstreams.recordStoreRestored(nowNanos);
    }
    return restored;
  }

  /**
   * Records that a call of this router to the store has failed.
   *
   * @param data kind of data that the call was to read
   */
  public void recordCallFailed(StoreData data) {
    unreadableData.add(data);
    upstreams.recordStoreFailure(nowNanos);
  }

  /**
   * Tells whether this router can read the store.
   *
   * @return false from a failed call until a later one for the same data succeeds
   */
  public boolean readsStore() {
    return unreadableData.isEmpty();
  }

  /**
   * Returns the versions of the data that this router has read from the store.
   *
   * @return the versions
   */
  public StoreVersions storeVersions() {
    return storeVersions;
  }

  /**
   * Returns the detector of data that peers have read in newer versions.
   *
   * @return the detector
   */
  public StaleStateDetector staleStateDetector() {
    return staleStateDetector;
  }

  /**
   * Returns for how long peers have had newer data than this router.
   *
   * @param data kind of data
   * @return time since this router was found to be behind, zero if it isn't
   */
  public Duration behindFor(StoreData data) {
    return staleStateDetector.behindFor(data, storeVersions, nowNanos);
  }

  /**
   * Returns the known upstreams.
   *
   * @return the directory
   */
  public UpstreamDirectory upstreams() {
    return upstreams;
  }

  /**
   * Returns the recent failures of the upstreams, as seen by the requests of this router's callers.
   *
   * @return the record
   */
  public UpstreamHealth health() {
    return health;
  }

  /**
   * Returns at which software versions streams that may be resumed may begin.
   *
   * @return the versions, none until they are set
   */
  public VersionScope versions() {
    return versions;
  }

  /**
   * Sets at which software versions streams that may be resumed may begin.
   *
   * @param newVersions the versions
   */
  public void versions(VersionScope newVersions) {
    versions = requireNonNull(newVersions, "newVersions");
  }

  /**
   * Returns the load in flight at the upstreams.
   *
   * @return the tracker
   */
  public LoadTracker loads() {
    return loads;
  }

  /**
   * Returns the recent usage of the teams.
   *
   * @return the record
   */
  public TeamUsage usage() {
    return usage;
  }

  /**
   * Returns the model of the engines' prefix caches.
   *
   * @return the model
   */
  public PrefixCacheModel prefixCaches() {
    return prefixCaches;
  }

  /**
   * Returns the parts of prompts under which engines crash.
   *
   * @return the record
   */
  public CrashBlame crashBlame() {
    return crashBlame;
  }

  /**
   * Returns the limiter of requests to upstreams that are cold or have named a limit.
   *
   * @return the limiter
   */
  public UpstreamRateLimiter rateLimiter() {
    return rateLimiter;
  }

  /**
   * Returns the rate limits that upstreams have named.
   *
   * @return the limits
   */
  public RateLimits rateLimits() {
    return rateLimits;
  }

  /**
   * Returns the budget of retries.
   *
   * @return the budget
   */
  public RetryBudget retryBudget() {
    return retryBudget;
  }

  /**
   * Returns the routers of the fleet.
   *
   * @return the members
   */
  public FleetMembers members() {
    return members;
  }

  /**
   * Returns the estimator of the prefill rate of a service's engines.
   *
   * @param service the service
   * @return the estimator
   */
  public PrefillRateEstimator prefillRate(ServiceName service) {
    return prefillRates.computeIfAbsent(service, key -> PrefillRateEstimator.create());
  }

  /**
   * Sets the current time.
   *
   * @param newTimeNanos monotonic time
   * @param wallMillis time of day in milliseconds, which shows whether this VM was suspended
   */
  public void advanceTo(long newTimeNanos, long wallMillis) {
    nowNanos = newTimeNanos;
    pauses.recordEvent(newTimeNanos, wallMillis);
  }

  /**
   * Tells whether this process has run without a pause for some time. After a pause, other routers
   * may do what was up to this one.
   *
   * @param time the time
   * @return false if it was stopped or suspended within that time
   */
  public boolean hasRunFor(Duration time) {
    return pauses.hasRunFor(time, nowNanos);
  }

  /**
   * Returns the last pause of this process.
   *
   * @return the pause, empty if there was none
   */
  public Optional<Pause> lastPause() {
    return pauses.lastPause();
  }

  /**
   * Returns the time of the current event.
   *
   * @return monotonic time
   */
  public long nowNanos() {
    return nowNanos;
  }
}
