package org.dandelionbeam.routing.wiring;

import static java.util.Objects.requireNonNull;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.concurrent.Future;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.dandelionbeam.base.ErrorCode;
import org.dandelionbeam.base.FleetException;
import org.dandelionbeam.base.Verdict;
import org.dandelionbeam.routing.Decision;
import org.dandelionbeam.routing.InstanceId;
import org.dandelionbeam.routing.RouteKind;
import org.dandelionbeam.routing.RouteRule;
import org.dandelionbeam.routing.RoutingTable;
import org.dandelionbeam.routing.TeamName;
import org.dandelionbeam.routing.Ticket;
import org.dandelionbeam.scheduling.Outcome;

/** A request of a caller, from its arrival to its response. Confined to one event loop. */
final class RequestTask implements UpstreamExchange.Listener {
  /** Timeout of callers that don't announce one. */
  private static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(30);

  /** Another upstream usually has a free slot by then. */
  private static final Duration RETRY_AFTER_UPSTREAM_FAILURE = Duration.ofMillis(300);

  /** Other routers serve the caller meanwhile. */
  private static final Duration RETRY_AFTER_DRAINING = Duration.ofMillis(50);

  /** A starting router has loaded its configuration by then. */
  private static final Duration RETRY_AFTER_NOT_READY = Duration.ofMillis(500);

  private static final int FIRST_ERROR_STATUS = 400;
  private static final int FIRST_SERVER_ERROR_STATUS = 500;
  private static final TeamName NO_TEAM = TeamName.of("anonymous");

  private final RouterContext router;
  private final CallerConnection connection;
  private final HttpRequest head;
  private final ByteBuf body;
  private final long arrivedNanos = System.nanoTime();
  private final RequestTrace trace = new RequestTrace(arrivedNanos);
  private HttpDialect.RequestMetadata metadata;
  private RouteRule route;
  private Optional<TeamName> team = Optional.empty();
  private Ticket ticket;
  private Future<?> timer;
  private Decision.Granted grant;
  private UpstreamExchange exchange;
  private final Attempts attempts = new Attempts();
  private long sentNanos;
  private boolean outputSeen;
  private long firstOutputNanos;
  private final ResponseRelay relay;
  private int upstreamStatus;
  private boolean rejected;
  private FullHttpResponse upstreamError;
  private boolean ended;

  RequestTask(RouterContext router, CallerConnection connection, HttpRequest head, ByteBuf body) {
    this.router = requireNonNull(router, "router");
    this.connection = requireNonNull(connection, "connection");
    this.head = requireNonNull(head, "head");
    this.body = requireNonNull(body, "body");
    relay = new ResponseRelay(connection, router.dialect());
  }

  /** Starts the request, unless its caller has left before it was read. */
  void start() {
    if (ended || !connection.isOpen()) {
      return;
    }
    long now = router.advanceTime();
    try {
      metadata = router.dialect().readRequest(head);
    } catch (FleetException e) {
      trace.step("bad_request", e.getMessage(), now);
      sendError(HttpResponseStatus.valueOf(e.code().httpStatus()), e.code());
      return;
    }
    Optional<RoutingTable> table = router.fleet().table();
    if (table.isEmpty()) {
      sendUnavailable(ErrorCode.NOT_READY, RETRY_AFTER_NOT_READY);
    } else {
      admit(table.get(), now);
    }
  }

  private void admit(RoutingTable table, long now) {
    Admission admission = Admission.of(table, head, metadata.key());
    if (admission instanceof Admission.Denied denied) {
      trace.step(denied.reason(), "config=" + table.version(), now);
      sendError(denied.status(), denied.code());
    } else if (admission instanceof Admission.Admitted admitted) {
      route = admitted.route();
      team = admitted.team();
      if (router.accepts(metadata.prompt().expectedDuration())) {
        submit(table, now);
      } else {
        trace.step("stopping", "config=" + table.version(), now);
        sendUnavailable(ErrorCode.STOPPING, RETRY_AFTER_DRAINING);
      }
    }
  }

  private void submit(RoutingTable table, long now) {
    trace.routed(route, team.orElse(NO_TEAM).text(), table.version(), now);
    long timeoutNanos =
        Math.min(route.timeout().toNanos(), metadata.timeout().orElse(DEFAULT_TIMEOUT).toNanos());
    long objectiveNanos = Math.min(route.latencyObjective().toNanos(), timeoutNanos);
    boolean streams = route.kind() == RouteKind.STREAMING;
    if (streams && route.isIdempotent()) {
      relay.enableResuming();
    }
    ticket =
        Ticket.builder(router.nextTicketNumber())
            .from(router.fleet().members().self().domain())
            .firstOutputTimeout(streams ? route.firstOutputTimeout().toNanos() : timeoutNanos)
            .request(route.pickService(router::random), team.orElse(NO_TEAM), metadata.prompt())
            .times(arrivedNanos, arrivedNanos + objectiveNanos, arrivedNanos + timeoutNanos)
            .build();
    router.fleet().retryBudget().recordRequest(ticket.service(), now);
    timer = router.loop().schedule(this::timedOut, timeoutNanos, TimeUnit.NANOSECONDS);
    router.scheduling().submit(ticket, this);
  }

  /** Carries out a decision of the scheduler. */
  void apply(Decision decision) {
    if (ended) {
      return;
    }
    if (decision instanceof Decision.Granted granted) {
      send(granted);
    } else if (decision instanceof Decision.Refused refused) {
      trace.refused(refused, router.scheduling().taskCount(), router.now());
      endUnserved(refused.retryAfter());
    } else {
      trace.waiting(router.scheduling().taskCount(), router.now());
    }
  }

  private void send(Decision.Granted granted) {
    grant = granted;
    long now = router.advanceTime();
    trace.granted(granted, now);
    if (attempts.isEmpty()) {
      router.metrics().recordDispatch(route.kind().name(), now - arrivedNanos);
    }
    sentNanos = now;
    outputSeen = false;
    rejected = false;
    FullHttpRequest request = upstreamRequest(now);
    exchange = new UpstreamExchange(router.dialect(), request, metadata.requestId(), this);
    router.pool().start(granted.instance().endpoint(), exchange);
  }

  private FullHttpRequest upstreamRequest(long now) {
    Duration remaining = Duration.ofNanos(Math.max(1, ticket.deadlineNanos() - now));
    HttpDialect.UpstreamRequestMetadata added =
        new HttpDialect.UpstreamRequestMetadata(
            grant.instance().id(), remaining, team, relay.lastEventId());
    return UpstreamRequests.of(router.dialect(), head, body, added);
  }

  @Override
  public void head(HttpResponse newHead, HttpDialect.ResponseMetadata newMetadata) {
    upstreamStatus = newHead.status().code();
    rejected = newMetadata.notRun() || isMisdirected();
    boolean resumed = relay.isForwarding();
    if (!resumed) {
      relay.start(
          newHead, route.kind() == RouteKind.STREAMING && upstreamStatus < FIRST_ERROR_STATUS);
    }
    router.feedback().record(grant.instance(), newHead, newMetadata);
    if (!rejected && (!newMetadata.signed() || (resumed && upstreamStatus >= FIRST_ERROR_STATUS))) {
      trace.step("unusable_answer", "status=" + upstreamStatus, router.now());
      exchange.abandon();
      failed(
          Verdict.MAY_HAVE_RUN,
          "response is unsigned or does not resume the stream, status " + upstreamStatus);
    }
  }

  /** Tells whether another upstream than the expected one has responded. */
  private boolean isMisdirected() {
    return upstreamStatus == HttpResponseStatus.MISDIRECTED_REQUEST.code();
  }

  private InstanceId id() {
    return grant.instance().id();
  }

  @Override
  public void content(ByteBuf part) {
    if (ended || rejected) {
      return;
    }
    recordOutput();
    relay.add(part);
    if (relay.isForwarding() && !connection.isWritable()) {
      exchange.setReading(false);
    }
  }

  private void recordOutput() {
    if (!outputSeen) {
      outputSeen = true;
      firstOutputNanos = router.now();
      router.fleet().health().recordOutput(id());
      Duration elapsed = Duration.ofNanos(router.now() - sentNanos);
      router.scheduling().recordFirstOutput(ticket, elapsed);
      trace.step("first_output", "status=" + upstreamStatus, router.now());
    }
  }

  @Override
  public void readComplete() {
    if (relay.isForwarding() && !ended) {
      connection.flush();
    }
  }

  /** Stops or resumes reading from the upstream, according to whether the caller keeps up. */
  void setCallerWritable(boolean writable) {
    if (exchange != null) {
      exchange.setReading(writable);
    }
  }

  @Override
  public void complete(BodyFraming framing) {
    if (ended) {
      return;
    }
    router.metrics().count("upstream_responses", "framing", framing.label());
    trace.step("response_end", "framing=" + framing.label(), router.now());
    if (rejected) {
      handleRejection();
      return;
    }
    if (relay.isBrokenOff(framing)) {
      failed(Verdict.MAY_HAVE_RUN, "stream ended within an event");
      return;
    }
    int status = upstreamStatus;
    router.fleet().health().recordResponse(id(), status < FIRST_SERVER_ERROR_STATUS);
    ticket.exclude(grant.instance().number());
    endGrant(status < FIRST_SERVER_ERROR_STATUS ? Outcome.SERVED : Outcome.FAILED);
    attempts.recordRun(Verdict.RAN);
    if (relay.isForwarding()) {
      finish(status);
      connection.sendEnd();
      return;
    }
    FullHttpResponse response = relay.toFullResponse(framing);
    if (status >= FIRST_SERVER_ERROR_STATUS && mayRunAgain()) {
      storeUpstreamError(response);
      resubmit("upstream responded with status " + status);
    } else {
      deliver(response);
    }
  }

  private void handleRejection() {
    int status = upstreamStatus;
    boolean misdirected = isMisdirected();
    trace.step("rejected", "status=" + status + " upstream=" + id(), router.now());
    router.metrics().count("upstream_rejections", "status", Integer.toString(status));
    if (misdirected) {
      router.fleet().health().recordUnreachable(id(), router.now());
    }
    ticket.exclude(grant.instance().number());
    endGrant(misdirected ? Outcome.BROKEN : Outcome.ABANDONED);
    if (attempts.recordRejection() && tryAcquireRetry()) {
      resubmit("upstream rejected the request with status " + status);
    } else {
      endUnserved(RETRY_AFTER_UPSTREAM_FAILURE);
    }
  }

  @Override
  public void failed(Verdict failure, String cause) {
    if (ended) {
      return;
    }
    trace.step("broken", "upstream=" + id() + " verdict=" + failure + " " + cause, router.now());
    router.metrics().count("upstream_failures", "verdict", failure.name());
    if (failure == Verdict.NOT_RUN) {
      router.fleet().health().recordUnreachable(id(), router.now());
    } else {
      router.fleet().health().recordBrokenExchange(id(), router.now());
    }
    ticket.exclude(grant.instance().number());
    endGrant(Outcome.BROKEN);
    relay.discard();
    if (failure == Verdict.NOT_RUN
        ? attempts.recordConnectFailure()
        : recordFailureAndCheckRetry(failure)) {
      resubmit(failure == Verdict.NOT_RUN ? "connection failed" : "exchange broke off");
    } else {
      endUnserved(RETRY_AFTER_UPSTREAM_FAILURE);
    }
  }

  private boolean recordFailureAndCheckRetry(Verdict failure) {
    attempts.recordRun(failure);
    return relay.canResume() && mayRunAgain();
  }

  /**
   * Tells whether the request may run at one more upstream, and if so takes a retry from the
   * budget.
   */
  private boolean mayRunAgain() {
    Duration remaining = Duration.ofNanos(ticket.deadlineNanos() - router.now());
    return attempts.mayRunAgain(route, remaining) && tryAcquireRetry();
  }

  private boolean tryAcquireRetry() {
    int routers = router.fleet().members().all().size();
    return router.fleet().retryBudget().tryAcquire(ticket.service(), routers, router.now());
  }

  private void storeUpstreamError(FullHttpResponse response) {
    if (upstreamError != null) {
      upstreamError.release();
    }
    upstreamError = response;
  }

  private void resubmit(String why) {
    trace.step("resubmitted", why, router.now());
    router.metrics().count("retries", "service", ticket.service().text());
    ticket.recordResubmission(router.nextTicketNumber(), router.now());
    router.scheduling().submit(ticket, this);
  }

  /** Ends a request that is sent to no further upstream. */
  private void endUnserved(Duration retryAfter) {
    if (relay.isForwarding()) {
      finish(HttpResponseStatus.BAD_GATEWAY.code());
      connection.abort();
    } else if (upstreamError != null) {
      FullHttpResponse response = upstreamError;
      upstreamError = null;
      deliver(response);
    } else if (attempts.verdict() == Verdict.NOT_RUN) {
      sendUnavailable(ErrorCode.NO_UPSTREAM, retryAfter);
    } else {
      sendError(HttpResponseStatus.BAD_GATEWAY, ErrorCode.UPSTREAM_FAILED);
    }
  }

  private void timedOut() {
    if (ended) {
      return;
    }
    boolean sent = exchange != null && grant != null && !exchange.hasEnded();
    trace.step("timeout", "sent=" + sent, router.now());
    abandon();
    if (relay.isForwarding()) {
      finish(HttpResponseStatus.GATEWAY_TIMEOUT.code());
      connection.abort();
    } else if (upstreamError != null || (!sent && attempts.verdict() == Verdict.NOT_RUN)) {
      endUnserved(RETRY_AFTER_NOT_READY);
    } else {
      sendError(HttpResponseStatus.GATEWAY_TIMEOUT, ErrorCode.UPSTREAM_TIMEOUT);
    }
  }

  /** Abandons the request, as its caller has closed the connection. */
  void callerDisconnected() {
    if (ended) {
      return;
    }
    trace.step("caller_left", "verdict=" + attempts.verdict(), router.now());
    abandon();
    finish(0);
  }

  private void abandon() {
    if (exchange != null) {
      exchange.abandon();
    }
    endGrant(Outcome.ABANDONED);
    if (ticket != null) {
      router.scheduling().cancel(ticket);
    }
  }

  private void endGrant(Outcome outcome) {
    if (grant != null) {
      router.scheduling().recordEnd(ticket, outcome);
    }
    exchange = null;
    grant = null;
  }

  private void deliver(FullHttpResponse response) {
    finish(response.status().code());
    connection.sendResponse(response);
  }

  private void sendUnavailable(ErrorCode code, Duration retryAfter) {
    sendRouterResponse(Replies.unavailable(code, retryAfter));
  }

  private void sendError(HttpResponseStatus status, ErrorCode code) {
    sendRouterResponse(Replies.error(status, code));
  }

  private void sendRouterResponse(FullHttpResponse response) {
    if (metadata != null) {
      response.headers().add(router.dialect().routerResponseHeaders(metadata.requestId()));
    }
    finish(response.status().code());
    connection.sendResponse(response);
  }

  private void finish(int status) {
    ended = true;
    if (timer != null) {
      timer.cancel(false);
    }
    relay.discard();
    if (upstreamError != null) {
      upstreamError.release();
      upstreamError = null;
    }
    body.release();
    logAndCount(status);
  }

  private void logAndCount(int status) {
    long now = router.now();
    String kind = route == null ? "none" : route.kind().name();
    router.metrics().recordRequest(kind, team.orElse(NO_TEAM).text(), status, now - arrivedNanos);
    boolean bad = status == 0 || status >= FIRST_ERROR_STATUS;
    if (bad || router.drawLogSample()) {
      long streamNanos = outputSeen ? now - firstOutputNanos : 0;
      trace.finished(status, attempts.runs(), relay.partCount(), streamNanos, now);
      trace.write(router.log(), metadata == null ? "none" : metadata.requestId());
    }
  }
}
