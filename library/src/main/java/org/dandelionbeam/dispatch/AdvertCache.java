package org.dandelionbeam.dispatch;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.dandelionbeam.base.NodeId;
import org.dandelionbeam.base.ServiceId;
import org.dandelionbeam.base.UpstreamId;

/** Latest adverts that an entry received about the upstreams of the owners that it asks. */
final class AdvertCache {
  private static final long MAX_AGE_NANOS = Duration.ofSeconds(1).toNanos();
  private static final long PROBE_INTERVAL_NANOS = Duration.ofMillis(50).toNanos();

  private final Map<UpstreamId, CachedAdvert> byUpstream = new HashMap<>();
  private final Map<ServiceId, Float> highestVirtualTimes = new HashMap<>();
  private final Map<NodeId, Long> lastProbeNanos = new HashMap<>();

  void put(NodeId owner, ServiceId service, DispatchMessage.Advert advert, long nowNanos) {
    CachedAdvert cached = new CachedAdvert(owner, advert.virtualTime(), nowNanos);
    cached.freeSlots = advert.free();
    byUpstream.put(UpstreamId.of(advert.upstream()), cached);
    highestVirtualTimes.merge(service, advert.virtualTime(), Math::max);
  }

  /** Returns the last advert for an upstream, unless it is too old or came from another owner. */
  Optional<CachedAdvert> find(Target target, long nowNanos) {
    CachedAdvert cached = byUpstream.get(target.upstream().id());
    boolean valid =
        cached != null
            && cached.owner.equals(target.owner())
            && nowNanos - cached.receivedNanos <= MAX_AGE_NANOS;
    return valid ? Optional.of(cached) : Optional.empty();
  }

  float highestVirtualTime(ServiceId service) {
    return highestVirtualTimes.getOrDefault(service, 0f);
  }

  /** Limits how often a ticket is sent to an owner only to learn its state. */
  boolean mayProbe(NodeId owner, long nowNanos) {
    Long last = lastProbeNanos.get(owner);
    boolean allowed = last == null || nowNanos - last >= PROBE_INTERVAL_NANOS;
    if (allowed) {
      lastProbeNanos.put(owner, nowNanos);
    }
    return allowed;
  }

  void forget(NodeId owner) {
    byUpstream.values().removeIf(cached -> cached.owner.equals(owner));
  }

  /** State of an upstream; every ticket sent to its owner since the advert takes one free slot. */
  static final class CachedAdvert {
    final NodeId owner;
    final float virtualTime;
    final long receivedNanos;
    int freeSlots;

    CachedAdvert(NodeId owner, float virtualTime, long receivedNanos) {
      this.owner = owner;
      this.virtualTime = virtualTime;
      this.receivedNanos = receivedNanos;
    }
  }
}
