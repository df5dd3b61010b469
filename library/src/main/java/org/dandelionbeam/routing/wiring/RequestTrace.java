package org.dandelionbeam.routing.wiring;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Supplier;
import org.dandelionbeam.routing.Decision;
import org.dandelionbeam.routing.RequestDigest;
import org.dandelionbeam.routing.RouteRule;
import org.dandelionbeam.routing.Ticket;

/**
 * Decisions on one request, logged if the request fails or is drawn as a sample. Only then are they
 * formatted.
 */
final class RequestTrace {
  private static final double NANOS_PER_MS = 1e6;

  private final long startNanos;
  private final List<Step> steps = new ArrayList<>(6);

  RequestTrace(long startNanos) {
    this.startNanos = startNanos;
  }

  /**
   * Records the route of the request.
   *
   * @param route the route
   * @param routeVersion first version of the configuration with this route
   * @param ticket ticket of the request
   * @param configVersion version of the configuration in force
   * @param nowNanos monotonic time
   */
  void routed(
      RouteRule route, long routeVersion, Ticket ticket, long configVersion, long nowNanos) {
    add("routed", () -> describe(route, routeVersion, ticket), configVersion, nowNanos);
  }

  /** Records that the caller wants a stream to go on. */
  void resumes(HttpDialect.Resumption resumption, long nowNanos) {
    add("resumes", () -> describe(resumption), 0, nowNanos);
  }

  private static String describe(HttpDialect.Resumption resumption) {
    String startedBy = resumption.startedBy().orElse("unknown");
    return "started_by=" + startedBy + " last_event=" + resumption.lastEventId();
  }

  private static String describe(RouteRule route, long routeVersion, Ticket ticket) {
    String digest = ticket.content().digest().map(RequestDigest::toString).orElse("unknown");
    return "route="
        + route.name()
        + " route_version="
        + routeVersion
        + " team="
        + ticket.team()
        + " digest="
        + digest;
  }

  /**
   * Records that the request is sent to an upstream.
   *
   * @param grant the grant
   * @param lastEvent last event of the stream that the upstream is to go on with, if any
   * @param nowNanos monotonic time
   */
  void granted(Decision.Granted grant, Optional<String> lastEvent, long nowNanos) {
    add("granted", () -> describe(grant, lastEvent), grant.instance().incarnation(), nowNanos);
  }

  private static String describe(Decision.Granted grant, Optional<String> lastEvent) {
    return "upstream="
        + grant.instance().id()
        + " software="
        + grant.instance().version()
        + lastEvent.map(id -> " last_event=" + id).orElse("")
        + " address="
        + grant.instance().endpoint()
        + " parts="
        + grant.ticket().prompt().parts().size()
        + " prompt_tokens="
        + grant.ticket().prompt().promptTokens()
        + " ahead_tokens="
        + grant.aheadTokens()
        + " unread_tokens="
        + grant.addedLoad().prefillTokens()
        + " shared="
        + grant.ticket().prompt().sharedParts();
  }

  void waiting(int queued, long nowNanos) {
    add("waiting", () -> "queued=" + queued, 0, nowNanos);
  }

  void refused(Decision.Refused refused, int queued, long nowNanos) {
    add("refused", () -> describe(refused, queued), 0, nowNanos);
  }

  private static String describe(Decision.Refused refused, int queued) {
    return "reason="
        + refused.reason().name().toLowerCase(Locale.ROOT)
        + " queued="
        + queued
        + " retry_after_ms="
        + refused.retryAfter().toMillis();
  }

  /**
   * Records the end of the request.
   *
   * @param status status of the response, 0 if the caller left
   * @param runs upstreams at which the request ran or may have run
   * @param parts parts of the body that arrived from upstreams
   * @param streamNanos time from the first output to the end
   * @param nowNanos monotonic time
   */
  void finished(int status, int runs, int parts, long streamNanos, long nowNanos) {
    long streamMs = Duration.ofNanos(streamNanos).toMillis();
    add(
        "finished",
        () -> "status=" + status + " runs=" + runs + " parts=" + parts + " stream_ms=" + streamMs,
        0,
        nowNanos);
  }

  void step(String name, String detail, long nowNanos) {
    add(name, () -> detail, 0, nowNanos);
  }

  private void add(String name, Supplier<String> detail, long version, long nowNanos) {
    steps.add(new Step(name, detail, version, nowNanos));
  }

  /** Writes one log line per step. */
  void write(EventLog log, String requestId) {
    for (Step step : steps) {
      EventLog.Line line =
          log.requestLine(step.name)
              .with("request", requestId)
              .with("at_ms", String.format("%.1f", (step.nanos - startNanos) / NANOS_PER_MS));
      if (step.version != 0) {
        line.with("version", step.version);
      }
      line.with("detail", step.detail.get()).write();
    }
  }

  private record Step(String name, Supplier<String> detail, long version, long nanos) {}
}
