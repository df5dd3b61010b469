package org.dandelionbeam.entry.wiring;

import io.micrometer.core.instrument.DistributionSummary;
import io.micrometer.core.instrument.Timer;
import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.dandelionbeam.base.RequestId;
import org.dandelionbeam.base.ServiceId;
import org.dandelionbeam.base.TeamId;
import org.dandelionbeam.entry.RetryBudget;
import org.dandelionbeam.upstream.wiring.UpstreamClient;

/**
 * State that the connections of an entry share. Used on its event loop only, except {@link #stop}.
 */
final class EntryState {
  private final EntryContext context;
  private final EventLoop loop;
  private final UpstreamClient client;
  private final Map<TeamId, Integer> openByTeam = new HashMap<>();
  private final Map<ServiceId, RetryBudget> retryBudgets = new HashMap<>();
  private final Set<RequestRelay> relays = new HashSet<>();
  private int openRequests;
  private volatile boolean stopped;

  EntryState(EntryContext context, EventLoop loop) {
    this.context = context;
    this.loop = loop;
    client = UpstreamClient.of(loop);
  }

  EntryContext context() {
    return context;
  }

  EventLoop loop() {
    return loop;
  }

  UpstreamClient client() {
    return client;
  }

  int openRequests() {
    return openRequests;
  }

  boolean tryOpen(TeamId team, int maxOpen) {
    int now = openByTeam.getOrDefault(team, 0);
    if (now >= maxOpen) {
      return false;
    }
    openByTeam.put(team, now + 1);
    openRequests++;
    return true;
  }

  void releaseOpen(TeamId team) {
    openRequests--;
    openByTeam.computeIfPresent(team, (key, count) -> count > 1 ? count - 1 : null);
  }

  void addRelay(RequestRelay relay) {
    relays.add(relay);
  }

  void removeRelay(RequestRelay relay) {
    relays.remove(relay);
  }

  /**
   * Marks the entry as stopped: connections that close from now on are closed by this router, not
   * by their callers.
   */
  void stop() {
    stopped = true;
  }

  boolean isStopped() {
    return stopped;
  }

  /**
   * Ends the running streams with an event that asks their callers to resume through another
   * router.
   */
  void moveStreamsAway() {
    List.copyOf(relays).forEach(RequestRelay::moveAway);
  }

  RetryBudget retryBudget(ServiceId service, double share) {
    return retryBudgets.computeIfAbsent(service, key -> RetryBudget.of(share));
  }

  RequestId newRequestId(String callerId) {
    String unique = String.format("%012x", context.random().nextLong() >>> Short.SIZE);
    return RequestId.of(callerId == null ? unique : callerId + "-" + unique);
  }

  Timer firstByteTimer(String service, String team) {
    return Timer.builder("dandelionbeam.first.byte")
        .tag("service", service)
        .tag("team", team)
        .publishPercentileHistogram()
        .register(context.meters());
  }

  DistributionSummary costSummary(String service, String team) {
    return DistributionSummary.builder("dandelionbeam.cost")
        .tag("service", service)
        .tag("team", team)
        .register(context.meters());
  }

  void countRefusal(String code) {
    context.meters().counter("dandelionbeam.refusals", "code", code).increment();
  }
}
