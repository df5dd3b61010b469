package org.dandelionbeam.routing.wiring;

import static java.util.Objects.requireNonNull;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.time.Duration;
import org.dandelionbeam.routing.RateLimit;
import org.dandelionbeam.routing.UpstreamInstance;

/** Takes over what an upstream says of itself in the head of a response. */
final class UpstreamFeedback {
  private final RouterContext router;

  UpstreamFeedback(RouterContext router) {
    this.router = requireNonNull(router, "router");
  }

  /** Records the state that a response states, unless another upstream has responded. */
  void record(UpstreamInstance upstream, HttpResponse head, HttpDialect.ResponseMetadata metadata) {
    if (head.status().code() == HttpResponseStatus.MISDIRECTED_REQUEST.code()) {
      return;
    }
    metadata
        .coldRemaining()
        .ifPresent(cold -> router.fleet().upstreams().markCold(upstream.id(), cold, router.now()));
    metadata.limit().ifPresent(limit -> recordLimit(upstream, limit));
    if (metadata.leaving()) {
      recordLeaving(upstream);
    }
    if (head.status().equals(HttpResponseStatus.SERVICE_UNAVAILABLE)) {
      recordRest(upstream, head, metadata);
    }
  }

  private void recordLimit(UpstreamInstance upstream, RateLimit limit) {
    boolean changed =
        router.fleet().rateLimits().recordResponse(upstream.number(), limit, router.now());
    if (changed) {
      router
          .log()
          .line("upstream_limited")
          .with("upstream", upstream.id())
          .with("per_second", limit.isNone() ? "any" : String.valueOf(limit.perSecond()))
          .write();
      router.scheduling().schedulePoll();
    }
  }

  private void recordRest(
      UpstreamInstance upstream, HttpResponse head, HttpDialect.ResponseMetadata metadata) {
    String requested = head.headers().get(HttpHeaderNames.RETRY_AFTER);
    if (requested == null) {
      return;
    }
    Duration granted =
        metadata
            .rest()
            .map(rest -> router.fleet().health().recordRest(upstream.id(), rest, router.now()))
            .orElse(Duration.ZERO);
    router
        .log()
        .line("upstream_rests")
        .with("upstream", upstream.id())
        .with("requested_s", requested)
        .with("granted_ms", granted.toMillis())
        .write();
  }

  private void recordLeaving(UpstreamInstance upstream) {
    int number = upstream.number();
    if (!router.fleet().upstreams().departures().hasAnnounced(number)) {
      router
          .log()
          .line("upstream_leaving")
          .with("upstream", upstream.id())
          .with("why", "response")
          .write();
      router.fleet().upstreams().recordLeaving(number, router.now());
      router.scheduling().schedulePoll();
    }
  }
}
