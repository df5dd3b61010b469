package org.dandelionbeam.routing.wiring;

import static java.util.Objects.requireNonNull;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.dandelionbeam.base.ErrorCode;
import org.dandelionbeam.base.FleetException;
import org.dandelionbeam.base.Verdict;
import org.dandelionbeam.resumption.Continuation;
import org.dandelionbeam.routing.Blame;
import org.dandelionbeam.routing.Decision;
import org.dandelionbeam.routing.InstanceId;
import org.dandelionbeam.routing.RequestDigest;
import org.dandelionbeam.routing.RouteKind;
import org.dandelionbeam.routing.RouteRule;
import org.dandelionbeam.routing.RoutingTable;
import org.dandelionbeam.routing.TeamName;
import org.dandelionbeam.routing.Ticket;
import org.dandelionbeam.scheduling.Outcome;

/** A request of a caller, from its arrival to its response. Confined to one event loop. */
final class RequestTask implements UpstreamExchange.Listener {
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
  private Optional<ResumableStream> stream = Optional.empty();
  private Future<?> timer;
  private UpstreamAttempt attempt;
  private final Attempts attempts = new Attempts();
  private final ResponseRelay relay;
  private FullHttpResponse upstreamError;
  private boolean ended;

  RequestTask(RouterContext router, CallerConnection connection, HttpRequest head, ByteBuf body) {
    this.router = requireNonNull(router, "router");
    this.connection = requireNonNull(connection, "connection");
    this.head = requireNonNull(head, "head");
    this.body = requireNonNull(body, "body");
    relay = new ResponseRelay(connection, router.dialect(), router.memory());
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
      sendRouterResponse(
          Replies.error(HttpResponseStatus.valueOf(e.code().httpStatus()), e.code()));
      return;
    }
    Optional<RoutingTable> table = router.fleet().table();
    if (table.isEmpty()) {
      sendRouterResponse(Replies.unavailable(ErrorCode.NOT_READY, RetryAfter.NOT_READY));
    } else {
      admit(table.get(), now);
    }
  }

  private void admit(RoutingTable table, long now) {
    Admission admission = Admission.of(table, head, metadata.key());
    if (admission instanceof Admission.Denied denied) {
      trace.step(denied.reason(), "config=" + table.version(), now);
      sendRouterResponse(Replies.error(denied.status(), denied.code()));
    } else if (admission instanceof Admission.Admitted admitted) {
      route = admitted.route();
      team = admitted.team();
      long deadlineNanos = arrivedNanos + RequestTickets.timeout(route, metadata).toNanos();
      if (router.accepts(metadata.prompt().expectedDuration(), deadlineNanos)) {
        submit(table, now);
      } else {
        trace.step("stopping", "config=" + table.version(), now);
        sendRouterResponse(Replies.unavailable(ErrorCode.STOPPING, RetryAfter.DRAINING));
      }
    }
  }

  private void submit(RoutingTable table, long now) {
    TeamName owner = team.orElse(NO_TEAM);
    RequestDigest digest = UpstreamRequests.digestOf(head, body, owner);
    ticket = RequestTickets.create(router, route, owner, metadata, digest, arrivedNanos);
    long routeVersion = router.fleet().routeHistory().firstVersion(route);
    if (ticket.isResumable()) {
      relay.enableResuming();
      stream = Optional.of(new ResumableStream(router, ticket, metadata));
    }
    trace.routed(route, routeVersion, ticket, table.version(), now);
    metadata.resumption().ifPresent(resumption -> trace.resumes(resumption, now));
    router.fleet().retryBudget().recordRequest(ticket.service(), now);
    router.fleet().usage().recordDemand(ticket.team(), ticket.cost(), now);
    Optional<Blame> blame = router.fleet().crashBlame().blameOf(ticket.content(), now);
    if (blame.isPresent()) {
      apply(blame.get().refusalOf(ticket));
      return;
    }
    long remainingNanos = ticket.deadlineNanos() - router.now();
    timer = router.loop().schedule(this::timedOut, remainingNanos, TimeUnit.NANOSECONDS);
    stream.ifPresentOrElse(
        known -> known.resolve(this::schedule, this::refuseContinuation), this::schedule);
  }

  private void schedule() {
    if (!ended) {
      router.scheduling().submit(ticket, this);
    }
  }

  private void refuseContinuation(Continuation.Reason reason) {
    if (!ended) {
      trace.step("unknown_stream", "reason=" + reason, router.now());
      endUnserved(
          ErrorCode.STREAM_UNKNOWN,
          reason.mayPass() ? RetryAfter.STORE_FAILURE : RetryAfter.UNKNOWN_STREAM);
    }
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
      endUnserved(refused.reason().code(), refused.retryAfter());
    } else {
      trace.waiting(router.scheduling().taskCount(), router.now());
    }
  }

  private void send(Decision.Granted granted) {
    if (!mayStart()) {
      trace.step("stopping", "granted=true", router.now());
      router.scheduling().recordEnd(ticket, Outcome.ABANDONED);
      endUnserved(ErrorCode.STOPPING, RetryAfter.DRAINING);
      return;
    }
    long now = router.advanceTime();
    trace.granted(granted, relay.lastEventId(), now);
    if (attempts.isEmpty()) {
      router.metrics().recordDispatch(route.kind().name(), now - arrivedNanos);
    }
    FullHttpRequest request = upstreamRequest(granted.instance().id(), now);
    UpstreamExchange exchange =
        new UpstreamExchange(router.dialect(), request, metadata.requestId(), this);
    attempt = new UpstreamAttempt(granted.instance(), exchange, now);
    router.pool().start(granted.instance().endpoint(), exchange);
  }

  private FullHttpRequest upstreamRequest(InstanceId upstream, long now) {
    Duration remaining = Duration.ofNanos(Math.max(1, ticket.deadlineNanos() - now));
    HttpDialect.UpstreamRequestMetadata added =
        new HttpDialect.UpstreamRequestMetadata(upstream, remaining, team, relay.lastEventId());
    return UpstreamRequests.of(router.dialect(), head, body, added);
  }

  @Override
  public void head(HttpResponse newHead, HttpDialect.ResponseMetadata newMetadata) {
    int status = newHead.status().code();
    attempt.recordHead(status, newMetadata.notRun());
    boolean resumed = relay.isForwarding();
    if (!resumed) {
      relay.start(newHead, route.kind() == RouteKind.STREAMING && status < FIRST_ERROR_STATUS);
    }
    router.feedback().record(attempt.instance(), newHead, newMetadata);
    boolean usable = newMetadata.signed() && (!resumed || relay.isContinuedBy(newHead));
    if (!attempt.isRejected() && !usable) {
      trace.step("unusable_answer", "status=" + status, router.now());
      attempt.abandon();
      failed(
          Verdict.MAY_HAVE_RUN,
          "response is unsigned or does not resume the stream, status " + status);
    }
  }

  @Override
  public void content(ByteBuf part) {
    if (ended || attempt.isRejected()) {
      return;
    }
    recordOutput();
    relay.add(part);
    if (relay.hasSentEvents()) {
      stream.ifPresent(known -> known.recordEvents(attempt.instance()));
    }
    if (relay.isForwarding() && !connection.isWritable()) {
      attempt.setReading(false);
    }
  }

  private void recordOutput() {
    if (attempt.recordOutput(router.now())) {
      router.fleet().health().recordOutput(attempt.id());
      Duration elapsed = Duration.ofNanos(attempt.firstOutputDelayNanos());
      router.scheduling().recordFirstOutput(ticket, elapsed);
      trace.step("first_output", "status=" + attempt.status(), router.now());
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
    if (attempt != null) {
      attempt.setReading(writable);
    }
  }

  @Override
  public void complete(BodyFraming framing) {
    if (ended) {
      return;
    }
    router.metrics().count("upstream_responses", "framing", framing.label());
    trace.step("response_end", "framing=" + framing.label(), router.now());
    if (attempt.isRejected()) {
      handleRejection();
      return;
    }
    if (relay.isBrokenOff(framing)) {
      failed(Verdict.MAY_HAVE_RUN, "stream ended within an event");
      return;
    }
    int status = attempt.status();
    router.fleet().health().recordResponse(attempt.id(), status < FIRST_SERVER_ERROR_STATUS);
    ticket.exclude(attempt.instance().number());
    endGrant(status < FIRST_SERVER_ERROR_STATUS ? Outcome.SERVED : Outcome.FAILED);
    attempts.recordRun(Verdict.RAN);
    if (relay.isForwarding()) {
      finish(status);
      connection.sendEnd();
      return;
    }
    FullHttpResponse response = relay.toFullResponse(framing);
    if (status >= FIRST_SERVER_ERROR_STATUS && mayRunAgain()) {
      ReferenceCountUtil.release(upstreamError);
      upstreamError = response;
      resubmit("upstream responded with status " + status);
    } else {
      deliver(response);
    }
  }

  private void handleRejection() {
    int status = attempt.status();
    boolean misdirected = attempt.isMisdirected();
    trace.step("rejected", "status=" + status + " upstream=" + attempt.id(), router.now());
    router.metrics().count("upstream_rejections", "status", Integer.toString(status));
    if (misdirected) {
      router.fleet().health().recordUnreachable(attempt.id(), router.now());
    }
    ticket.exclude(attempt.instance().number());
    endGrant(misdirected ? Outcome.UNREACHABLE : Outcome.ABANDONED);
    if (attempts.recordRejection() && router.tryAcquireRetry(ticket.service())) {
      resubmit("upstream rejected the request with status " + status);
    } else {
      endUnserved(RetryAfter.UPSTREAM_FAILURE);
    }
  }

  @Override
  public void failed(Verdict failure, String cause) {
    if (ended) {
      return;
    }
    trace.step(
        "broken", "upstream=" + attempt.id() + " verdict=" + failure + " " + cause, router.now());
    router.metrics().count("upstream_failures", "verdict", failure.name());
    if (failure == Verdict.NOT_RUN) {
      router.fleet().health().recordUnreachable(attempt.id(), router.now());
    } else {
      router.fleet().health().recordBrokenExchange(attempt.id(), router.now());
    }
    ticket.exclude(attempt.instance().number());
    endGrant(failure == Verdict.NOT_RUN ? Outcome.UNREACHABLE : Outcome.BROKEN);
    relay.discard();
    if (failure == Verdict.NOT_RUN
        ? attempts.recordConnectFailure()
        : recordFailureAndCheckRetry(failure)) {
      resubmit(failure == Verdict.NOT_RUN ? "connection failed" : "exchange broke off");
    } else {
      endUnserved(RetryAfter.UPSTREAM_FAILURE);
    }
  }

  private boolean recordFailureAndCheckRetry(Verdict failure) {
    attempts.recordRun(failure);
    boolean suspicious = router.fleet().crashBlame().isSuspicious(ticket.content(), router.now());
    return relay.canResume() && !suspicious && mayRunAgain();
  }

  /** Tells whether the request may run once more, and if so takes a retry from the budget. */
  private boolean mayRunAgain() {
    Duration remaining = Duration.ofNanos(ticket.deadlineNanos() - router.now());
    return attempts.mayRunAgain(route, remaining) && router.tryAcquireRetry(ticket.service());
  }

  private void resubmit(String why) {
    trace.step("resubmitted", why, router.now());
    router.metrics().count("retries", "service", ticket.service().text());
    ticket.recordResubmission(router.nextTicketNumber(), router.now());
    router.scheduling().submit(ticket, this);
  }

  private void endUnserved(Duration retryAfter) {
    endUnserved(ErrorCode.NO_UPSTREAM, retryAfter);
  }

  /** Ends a request that is sent to no further upstream; the code is for one that has not run. */
  private void endUnserved(ErrorCode code, Duration retryAfter) {
    if (relay.isForwarding()) {
      finish(HttpResponseStatus.BAD_GATEWAY.code());
      connection.abort();
    } else if (upstreamError != null) {
      deliverUpstreamError();
    } else if (attempts.verdict() == Verdict.NOT_RUN) {
      sendRouterResponse(Replies.unavailable(code, retryAfter));
    } else {
      sendRouterResponse(Replies.error(HttpResponseStatus.BAD_GATEWAY, ErrorCode.UPSTREAM_FAILED));
    }
  }

  private void timedOut() {
    if (!ended) {
      trace.step("timeout", "sent=" + isSent(), router.now());
      giveUp(ErrorCode.UPSTREAM_TIMEOUT, ErrorCode.NO_UPSTREAM, RetryAfter.NOT_READY);
    }
  }

  /** Refuses the request if it waits and the router stops before it could be served. */
  void refuseIfTooLate() {
    if (!ended && ticket != null && !isSent() && !mayStart()) {
      trace.step("stopping", "granted=false", router.now());
      giveUp(ErrorCode.INTERRUPTED, ErrorCode.STOPPING, RetryAfter.DRAINING);
    }
  }

  /** Ends the request, as the router stops now. */
  void interrupt() {
    if (!ended) {
      trace.step("interrupted", "sent=" + isSent(), router.now());
      giveUp(ErrorCode.INTERRUPTED, ErrorCode.STOPPING, RetryAfter.DRAINING);
    }
  }

  /** Ends the request with an error, as an unexpected exception was thrown. */
  void failInternally() {
    if (!ended) {
      trace.step("internal_error", "sent=" + isSent(), router.now());
      abandon();
      HttpResponseStatus status = HttpResponseStatus.INTERNAL_SERVER_ERROR;
      sendRouterResponse(Replies.error(status, ErrorCode.INTERNAL));
    }
  }

  private boolean isSent() {
    return attempt != null && attempt.isOpen();
  }

  private boolean mayStart() {
    return router.mayStart(metadata.prompt().expectedDuration(), ticket.deadlineNanos());
  }

  /**
   * Gives the request up, wherever it is.
   *
   * @param code error for a request that may have run
   * @param refusal error for a request that has not run
   * @param retryAfter time after which a request that has not run may return
   */
  private void giveUp(ErrorCode code, ErrorCode refusal, Duration retryAfter) {
    boolean notRun = !isSent() && attempts.verdict() == Verdict.NOT_RUN;
    abandon();
    HttpResponseStatus status = HttpResponseStatus.valueOf(code.httpStatus());
    if (relay.isForwarding()) {
      finish(status.code());
      connection.abort();
    } else if (upstreamError != null) {
      deliverUpstreamError();
    } else {
      sendRouterResponse(
          notRun ? Replies.unavailable(refusal, retryAfter) : Replies.error(status, code));
    }
  }

  private void deliverUpstreamError() {
    FullHttpResponse response = upstreamError;
    upstreamError = null;
    deliver(response);
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
    if (attempt != null) {
      attempt.abandon();
    }
    endGrant(Outcome.ABANDONED);
    if (ticket != null) {
      router.scheduling().cancel(ticket);
    }
  }

  private void endGrant(Outcome outcome) {
    if (attempt != null && attempt.end()) {
      router.scheduling().recordEnd(ticket, outcome);
    }
  }

  private void deliver(FullHttpResponse response) {
    finish(response.status().code());
    connection.sendResponse(response);
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
    if (route != null) {
      router.metrics().recordRoute(router.fleet().routeHistory().isAdded(route), status);
    }
    if (status == 0 || status >= FIRST_ERROR_STATUS || router.drawLogSample()) {
      long streamNanos = attempt == null ? 0 : attempt.streamNanos(now);
      trace.finished(status, attempts.runs(), relay.partCount(), streamNanos, now);
      trace.write(router.log(), metadata == null ? "none" : metadata.requestId());
    }
  }
}
