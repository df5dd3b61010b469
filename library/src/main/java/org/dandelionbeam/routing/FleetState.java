package org.dandelionbeam.routing;

import static java.util.Objects.requireNonNull;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** What a router believes about its fleet; one thread owns it. */
public final class FleetState {
  private final UpstreamDirectory upstreams = UpstreamDirectory.create();
  private final UpstreamHealth health = UpstreamHealth.create();
  private final LoadTracker loads = LoadTracker.create();
  private final TeamUsage usage = TeamUsage.create();
  private final PrefixCacheModel prefixCaches = PrefixCacheModel.create();
  private final Map<ServiceName, PrefillRateEstimator> prefillRates = new HashMap<>();
  private final ColdRateLimiter coldRateLimiter;
  private final RetryBudget retryBudget;
  private final FleetMembers members;
  private final StaleStateDetector staleStateDetector = StaleStateDetector.create();
  private long upstreamsRevision;
  private RoutingTable table;
  private long nowNanos;

  private FleetState(FleetLimits limits, FleetMembers members) {
    coldRateLimiter = ColdRateLimiter.of(limits);
    retryBudget = RetryBudget.of(limits);
    this.members = requireNonNull(members, "members");
  }

  /**
   * Returns the state of a router that knows nothing yet.
   *
   * @param limits limits over all routers
   * @param members the routers of the fleet
   * @return the state
   */
  public static FleetState of(FleetLimits limits, FleetMembers members) {
    return new FleetState(limits, members);
  }

  /**
   * Takes a configuration if it is newer than the one in force.
   *
   * @param newer the configuration
   * @return false if the one in force is as new
   */
  public boolean accept(RoutingTable newer) {
    if (table != null && newer.version() <= table.version()) {
      return false;
    }
    table = newer;
    newer.engineMemoryTokens().ifPresent(prefixCaches::engineMemoryTokens);
    return true;
  }

  /**
   * Returns the configuration in force.
   *
   * @return the table, empty before any is known
   */
  public Optional<RoutingTable> table() {
    return Optional.ofNullable(table);
  }

  /**
   * Notes the revision of a change of an upstream's entry.
   *
   * @param revision revision of the store
   */
  public void recordUpstreamsRevision(long revision) {
    upstreamsRevision = Math.max(upstreamsRevision, revision);
  }

  /**
   * Notes that all entries of upstreams were read. What peers knew before is known then too.
   *
   * @param asOf revision of the store at the time of the reading
   */
  public void recordUpstreamListing(long asOf) {
    recordUpstreamsRevision(Math.min(asOf, staleStateDetector.newestPeerVersions().upstreams()));
  }

  /**
   * Returns the versions of what is known of the store.
   *
   * @return the versions
   */
  public StoreVersions storeVersions() {
    return new StoreVersions(table == null ? 0 : table.version(), upstreamsRevision);
  }

  /**
   * Returns what peers know of the store beyond this router.
   *
   * @return the state
   */
  public StaleStateDetector staleStateDetector() {
    return staleStateDetector;
  }

  /**
   * Returns the upstreams.
   *
   * @return the directory
   */
  public UpstreamDirectory upstreams() {
    return upstreams;
  }

  /**
   * Returns how the upstreams treated requests.
   *
   * @return the record
   */
  public UpstreamHealth health() {
    return health;
  }

  /**
   * Returns the work in flight.
   *
   * @return the board
   */
  public LoadTracker loads() {
    return loads;
  }

  /**
   * Returns the service that teams got.
   *
   * @return the record
   */
  public TeamUsage usage() {
    return usage;
  }

  /**
   * Returns which engines hold which prompts.
   *
   * @return the memory
   */
  public PrefixCacheModel prefixCaches() {
    return prefixCaches;
  }

  /**
   * Returns the part of the cold limits.
   *
   * @return the pace
   */
  public ColdRateLimiter coldRateLimiter() {
    return coldRateLimiter;
  }

  /**
   * Returns the part of the retry limits.
   *
   * @return the allowance
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
   * Returns how fast the engines of a service read.
   *
   * @param service the service
   * @return the learned rate
   */
  public PrefillRateEstimator prefillRate(ServiceName service) {
    return prefillRates.computeIfAbsent(service, key -> PrefillRateEstimator.create());
  }

  /**
   * Returns how many routers share the limits.
   *
   * @return 1 or more
   */
  public int limitSharers() {
    return members.countLimitSharers(nowNanos);
  }

  /**
   * Moves the time on.
   *
   * @param newTimeNanos monotonic time
   */
  public void advanceTo(long newTimeNanos) {
    nowNanos = newTimeNanos;
  }

  /**
   * Returns the time of the event that is handled.
   *
   * @return monotonic time
   */
  public long nowNanos() {
    return nowNanos;
  }
}
