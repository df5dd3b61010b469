package org.dandelionbeam.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.dandelionbeam.base.NodeId;
import org.dandelionbeam.base.TeamId;
import org.dandelionbeam.base.UpstreamId;

/** Queue of one service at an owner, with the owned upstreams of the service. */
final class ServiceQueue {
  private static final long MIN_RETRY_MILLIS = 1_000;
  private static final long MAX_RETRY_MILLIS = 60_000;
  private static final double MILLIS_PER_SECOND = 1_000;
  private static final double MAX_LEAD_SECONDS = 10;
  private static final double COST_SMOOTHING = 0.02;
  private static final int MAX_RECENT_ENTRIES = 8;
  private static final int MAX_LAST_ADVERTS = 64;
  private static final long ADVERT_REPEAT_INTERVAL_NANOS = Duration.ofMillis(400).toNanos();
  private static final long MIN_ADVERT_INTERVAL_NANOS = Duration.ofMillis(20).toNanos();
  private static final long MAX_ADVERT_INTERVAL_NANOS = Duration.ofSeconds(5).toNanos();

  final FairQueue queue;
  final ServiceRate rate = new ServiceRate();
  final Map<UpstreamId, OwnedUpstream> upstreams = new LinkedHashMap<>();
  final Set<TicketKey> unanswered = new LinkedHashSet<>();
  private final Map<NodeId, Boolean> recentEntries = new BoundedMap<>(MAX_RECENT_ENTRIES);
  private final Map<NodeId, SentAdvert> lastAdverts = new BoundedMap<>(MAX_LAST_ADVERTS);
  private double meanCost;
  private long advertIntervalNanos = MIN_ADVERT_INTERVAL_NANOS;
  private long advertDueNanos;

  ServiceQueue(FairQueue queue, long nowNanos) {
    this.queue = queue;
    advertDueNanos = nowNanos;
  }

  void recordEntry(NodeId entry) {
    recentEntries.remove(entry);
    recentEntries.put(entry, true);
  }

  boolean accepts(Requirements requirements) {
    return upstreams.values().stream().anyMatch(upstream -> upstream.accepts(requirements));
  }

  void recordEnd(double cost, long nowNanos) {
    rate.record(cost, nowNanos);
    meanCost += (cost - meanCost) * (meanCost == 0 ? 1 : COST_SMOOTHING);
    queue.maxLead(MAX_LEAD_SECONDS * rate.costPerSecond(nowNanos));
  }

  /**
   * Returns the part of an estimate that is reported to other owners before the cost is known.
   *
   * <p>Other owners cannot undo a charge for an estimate that was too high, so the estimate is
   * limited to the mean cost of recent requests.
   */
  double estimateToReport(double estimate) {
    return Math.min(estimate, meanCost);
  }

  /**
   * Estimates when a place in the team's queue becomes free: the team is served in turn with the
   * other waiting teams, or faster when those have few tickets.
   */
  long retryMillis(TeamId team, long nowNanos) {
    double perSecond = rate.requestsPerSecond(nowNanos);
    if (perSecond <= 0) {
      return MIN_RETRY_MILLIS;
    }
    double inTurn = (queue.waiting(team) + 1.0) * Math.max(1, queue.backloggedTeams());
    double requests = Math.min(inTurn, queue.size() + 1.0);
    double millis = requests / perSecond * MILLIS_PER_SECOND;
    return (long) Math.max(MIN_RETRY_MILLIS, Math.min(MAX_RETRY_MILLIS, millis));
  }

  long expectedWaitMillis(TeamId team, long nowNanos) {
    double perSecond = rate.requestsPerSecond(nowNanos);
    double inTurn = queue.waiting(team) * (double) Math.max(1, queue.backloggedTeams());
    double requests = Math.min(inTurn, queue.size());
    return perSecond <= 0 ? 0 : (long) (requests / perSecond * MILLIS_PER_SECOND);
  }

  void resetAdvertInterval() {
    advertIntervalNanos = MIN_ADVERT_INTERVAL_NANOS;
  }

  /**
   * Returns the entries to send adverts to now; the interval between adverts doubles up to a limit.
   */
  private List<NodeId> advertReceivers(long nowNanos) {
    if (nowNanos - advertDueNanos < 0) {
      return List.of();
    }
    advertDueNanos = nowNanos + advertIntervalNanos;
    advertIntervalNanos = Math.min(2 * advertIntervalNanos, MAX_ADVERT_INTERVAL_NANOS);
    return new ArrayList<>(recentEntries.keySet());
  }

  WaitReason waitReason(Requirements requirements, long nowNanos) {
    return upstreams.values().stream()
        .filter(upstream -> upstream.accepts(requirements))
        .findFirst()
        .map(upstream -> upstream.waitReason(nowNanos))
        .orElse(WaitReason.NO_SLOTS);
  }

  List<OwnedUpstream> upstreamsWithFreeSlots(long nowNanos) {
    List<OwnedUpstream> free = new ArrayList<>(upstreams.size());
    for (OwnedUpstream upstream : upstreams.values()) {
      if (upstream.freeSlots(nowNanos) > 0) {
        free.add(upstream);
      }
    }
    return free;
  }

  /**
   * Chooses the least loaded upstream, or a holder of the prompt prefix unless another suitable
   * upstream is idle.
   */
  static OwnedUpstream choose(
      List<OwnedUpstream> free, Requirements requirements, List<UpstreamId> holders) {
    OwnedUpstream least = null;
    OwnedUpstream holder = null;
    for (OwnedUpstream upstream : free) {
      if (!upstream.accepts(requirements)) {
        continue;
      }
      least = least == null || upstream.load() < least.load() ? upstream : least;
      boolean holds = holder == null && holders.contains(upstream.upstream().id());
      holder = holds ? upstream : holder;
    }
    return holder == null || (least != null && least.heldSlots() == 0) ? least : holder;
  }

  void advertiseFreeSlots(DispatchMessage.Sink sink, long nowNanos) {
    if (!upstreamsWithFreeSlots(nowNanos).isEmpty()) {
      advertReceivers(nowNanos).forEach(entry -> sendAdverts(entry, sink, nowNanos));
    }
  }

  /**
   * Sends the state of the upstreams to an entry, unless the same upstreams had free slots in its
   * last advert and that is recent.
   */
  void sendAdverts(NodeId entry, DispatchMessage.Sink sink, long nowNanos) {
    Set<UpstreamId> withFreeSlots = idsWithFreeSlots(nowNanos);
    SentAdvert last = lastAdverts.get(entry);
    if (last != null
        && last.withFreeSlots.equals(withFreeSlots)
        && nowNanos - last.sentNanos < ADVERT_REPEAT_INTERVAL_NANOS) {
      return;
    }
    lastAdverts.remove(entry);
    lastAdverts.put(entry, new SentAdvert(withFreeSlots, nowNanos));
    float virtualTime = (float) queue.virtualTime();
    for (OwnedUpstream upstream : upstreams.values()) {
      if (upstream.isOwned()) {
        int free = Math.max(0, upstream.freeSlots(nowNanos));
        sink.send(
            entry,
            new DispatchMessage.Advert(upstream.upstream().id().number(), free, virtualTime));
      }
    }
  }

  private Set<UpstreamId> idsWithFreeSlots(long nowNanos) {
    Set<UpstreamId> free = new HashSet<>();
    for (OwnedUpstream upstream : upstreamsWithFreeSlots(nowNanos)) {
      free.add(upstream.upstream().id());
    }
    return free;
  }

  /** Last advert sent to an entry: which upstreams had free slots, and when it was sent. */
  private record SentAdvert(Set<UpstreamId> withFreeSlots, long sentNanos) {}
}
