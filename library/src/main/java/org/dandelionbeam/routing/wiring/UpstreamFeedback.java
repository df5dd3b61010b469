package org.dandelionbeam.routing.wiring;

import static java.util.Objects.requireNonNull;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Set;
import org.dandelionbeam.routing.UpstreamInstance;

/** Takes over what an upstream says of itself in the head of a response. */
final class UpstreamFeedback {
  private final RouterContext router;

  UpstreamFeedback(RouterContext router) {
    this.router = requireNonNull(router, "router");
  }

  /** Records the state that a response states, unless another upstream has responded. */
  void record(UpstreamInstance upstream, int status, HttpDialect.ResponseMetadata metadata) {
    if (status == HttpResponseStatus.MISDIRECTED_REQUEST.code()) {
      return;
    }
    metadata
        .coldRemaining()
        .ifPresent(cold -> router.fleet().upstreams().markCold(upstream.id(), cold, router.now()));
    if (metadata.leaving()) {
      recordLeaving(upstream);
    }
  }

  private void recordLeaving(UpstreamInstance upstream) {
    int number = upstream.number();
    if (!router.fleet().upstreams().leaving().contains(number)) {
      router.log().line("upstream_leaving").with("upstream", upstream.id()).write();
      router.fleet().upstreams().recordLeaving(Set.of(number), router.now());
      router.scheduling().schedulePoll();
    }
  }
}
