package org.dandelionbeam.routing.wiring;

import static java.util.Objects.requireNonNull;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.dandelionbeam.base.ErrorCode;
import org.dandelionbeam.base.FleetException;
import org.dandelionbeam.base.Verdict;
import org.dandelionbeam.routing.Decision;
import org.dandelionbeam.routing.InstanceId;
import org.dandelionbeam.routing.LoadBoard;
import org.dandelionbeam.routing.RouteKind;
import org.dandelionbeam.routing.RouteRule;
import org.dandelionbeam.routing.RoutingTable;
import org.dandelionbeam.routing.TeamName;
import org.dandelionbeam.routing.Ticket;

/** One request of a caller from its arrival to its answer. Lives on one event loop. */
final class RequestTask implements UpstreamExchange.Listener {
  /** Callers that don't say how long they wait get this long. */
  private static final Duration DEFAULT_PATIENCE = Duration.ofSeconds(30);

  /** Another upstream is mostly free by then. */
  private static final Duration COME_BACK_SOON = Duration.ofMillis(300);

  /** Other routers serve meanwhile. */
  private static final Duration COME_BACK_AT_ONCE = Duration.ofMillis(50);

  /** A router that starts knows its configuration by then. */
  private static final Duration COME_BACK_LATER = Duration.ofMillis(500);

  private static final int FIRST_ERROR = 400;
  private static final int FIRST_SERVER_ERROR = 500;
  private static final double NANOS_PER_SECOND = 1e9;
  private static final long NANOS_PER_MS = 1_000_000;
  private static final TeamName NO_TEAM = TeamName.of("anonymous");

  private final RouterContext router;
  private final CallerSession session;
  private final HttpRequest head;
  private final ByteBuf body;
  private final long arrivedNanos = System.nanoTime();
  private final RequestTrace trace = new RequestTrace(arrivedNanos);
  private HttpDialect.CallerTerms terms;
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
  private final AnswerDelivery delivery;
  private int upstreamStatus;
  private boolean rejected;
  private FullHttpResponse upstreamError;
  private boolean over;

  RequestTask(RouterContext router, CallerSession session, HttpRequest head, ByteBuf body) {
    this.router = requireNonNull(router, "router");
    this.session = requireNonNull(session, "session");
    this.head = requireNonNull(head, "head");
    this.body = requireNonNull(body, "body");
    delivery = new AnswerDelivery(session, router.dialect());
  }

  void start() {
    long now = router.tick();
    try {
      terms = router.dialect().readRequest(head);
    } catch (FleetException e) {
      trace.step("bad_request", e.getMessage(), now);
      answerError(HttpResponseStatus.valueOf(e.code().httpStatus()), e.code());
      return;
    }
    Optional<RoutingTable> table = router.fleet().table();
    if (table.isEmpty()) {
      refuse(ErrorCode.NOT_READY, COME_BACK_LATER);
    } else if (admit(table.get())) {
      if (router.takes(terms.shape().expectedDuration())) {
        submit(table.get(), now);
      } else {
        trace.step("stopping", "config=" + table.get().version(), now);
        refuse(ErrorCode.STOPPING, COME_BACK_AT_ONCE);
      }
    }
  }

  private boolean admit(RoutingTable table) {
    String uri = head.uri();
    int query = uri.indexOf('?');
    String path = query < 0 ? uri : uri.substring(0, query);
    String host = head.headers().get(HttpHeaderNames.HOST);
    Optional<RouteRule> match = table.match(host, path);
    if (match.isEmpty()) {
      trace.step("no_route", "config=" + table.version(), router.now());
      answerError(HttpResponseStatus.NOT_FOUND, ErrorCode.NOT_FOUND);
      return false;
    }
    route = match.get();
    team = terms.key().flatMap(table::teamOf);
    if (team.isEmpty() && table.keysRequired() && !route.anonymous()) {
      trace.step("unknown_key", "config=" + table.version(), router.now());
      answerError(HttpResponseStatus.UNAUTHORIZED, ErrorCode.UNAUTHORIZED);
      return false;
    }
    return true;
  }

  private void submit(RoutingTable table, long now) {
    trace.routed(route, team.orElse(NO_TEAM).text(), table.version(), now);
    long patience =
        Math.min(route.timeout().toNanos(), terms.patience().orElse(DEFAULT_PATIENCE).toNanos());
    long objective = Math.min(route.latencyObjective().toNanos(), patience);
    boolean streams = route.kind() == RouteKind.STREAMING;
    if (streams && route.isIdempotent()) {
      delivery.splitEvents();
    }
    ticket =
        Ticket.builder(router.nextTicket())
            .patience(streams ? route.firstOutputPatience().toNanos() : patience)
            .request(route.pick(router::random), team.orElse(NO_TEAM), terms.shape())
            .times(arrivedNanos, arrivedNanos + objective, arrivedNanos + patience)
            .build();
    router.fleet().retries().requested(ticket.service(), now);
    timer = router.loop().schedule(this::timedOut, patience, TimeUnit.NANOSECONDS);
    decide(router.scheduler().submit(ticket));
  }

  /** Carries out what the scheduler decided. */
  void decide(Decision decision) {
    if (over) {
      return;
    }
    if (decision instanceof Decision.Granted granted) {
      send(granted);
    } else if (decision instanceof Decision.Refused refused) {
      trace.refused(refused, router.scheduler().waitingCount(), router.now());
      giveUp(refused.retryAfter());
    } else {
      trace.waiting(router.scheduler().waitingCount(), router.now());
      router.await(ticket.number(), this);
    }
  }

  private void send(Decision.Granted granted) {
    grant = granted;
    router.loadChanged();
    long now = router.tick();
    int number = LoadBoard.numberOf(granted.instance());
    trace.granted(granted, router.fleet().loads().total(number, now).inFlight(), now);
    if (attempts.isNone()) {
      router.metrics().dispatch(route.kind().name(), now - arrivedNanos);
    }
    sentNanos = now;
    outputSeen = false;
    rejected = false;
    FullHttpRequest request = upstreamRequest(now);
    exchange = new UpstreamExchange(router.dialect(), request, terms.requestId(), this);
    router.pool().start(granted.instance().endpoint(), exchange);
  }

  private FullHttpRequest upstreamRequest(long now) {
    Duration left = Duration.ofNanos(Math.max(1, ticket.deadlineNanos() - now));
    HttpDialect.UpstreamTerms added =
        new HttpDialect.UpstreamTerms(grant.instance().id(), left, team, delivery.lastEventId());
    HttpHeaders headers = router.dialect().upstreamHeaders(head, added);
    FullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1, head.method(), head.uri(), body.retainedDuplicate());
    request.headers().set(headers);
    boolean hasBody =
        head.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
            || HttpUtil.isTransferEncodingChunked(head);
    if (hasBody) {
      HttpUtil.setContentLength(request, body.readableBytes());
    }
    return request;
  }

  @Override
  public void head(HttpResponse newHead, HttpDialect.AnswerTerms answer) {
    upstreamStatus = newHead.status().code();
    rejected = answer.notRun() || upstreamStatus == HttpResponseStatus.MISDIRECTED_REQUEST.code();
    boolean continues = delivery.isRelaying();
    if (!continues) {
      delivery.begin(newHead);
    }
    answer
        .coldRemaining()
        .ifPresent(cold -> router.fleet().upstreams().turnedCold(id(), cold, router.now()));
    if (!rejected && (!answer.sealed() || (continues && upstreamStatus >= FIRST_ERROR))) {
      trace.step("unusable_answer", "status=" + upstreamStatus, router.now());
      exchange.abandon();
      failed(Verdict.MAY_HAVE_RUN, "unusable answer with status " + upstreamStatus);
    }
  }

  private InstanceId id() {
    return grant.instance().id();
  }

  @Override
  public void content(ByteBuf part) {
    if (over || rejected) {
      return;
    }
    noteOutput();
    boolean streams = route.kind() == RouteKind.STREAMING && delivery.status() < FIRST_ERROR;
    delivery.add(part, streams);
    if (delivery.isRelaying() && !session.isWritable()) {
      exchange.reading(false);
    }
  }

  private void noteOutput() {
    if (!outputSeen) {
      outputSeen = true;
      firstOutputNanos = router.now();
      router.fleet().health().reached(id());
      Duration elapsed = Duration.ofNanos(router.now() - sentNanos);
      router.scheduler().firstOutput(grant, elapsed);
      router.loadChanged();
      trace.step("first_output", "status=" + upstreamStatus, router.now());
      router.pollSoon();
    }
  }

  @Override
  public void readComplete() {
    if (delivery.isRelaying() && !over) {
      session.flush();
    }
  }

  /** Stops or resumes reading from the upstream, as fast as the caller reads. */
  void callerWritable(boolean writable) {
    if (exchange != null) {
      exchange.reading(writable);
    }
  }

  @Override
  public void complete() {
    if (over) {
      return;
    }
    if (rejected) {
      rejectedBy();
      return;
    }
    int status = upstreamStatus;
    router.fleet().health().answered(id(), status < FIRST_SERVER_ERROR);
    ticket.exclude(id());
    endGrant();
    attempts.ran(Verdict.RAN);
    if (delivery.isRelaying()) {
      delivery.addRest();
      finish(status);
      session.answerEnd();
      return;
    }
    FullHttpResponse answer = delivery.whole();
    if (status >= FIRST_SERVER_ERROR && mayRunAgain()) {
      keepError(answer);
      resubmit("retry after status " + status);
    } else {
      deliver(answer);
    }
  }

  private void rejectedBy() {
    int status = upstreamStatus;
    boolean misdirected = status == HttpResponseStatus.MISDIRECTED_REQUEST.code();
    trace.step("rejected", "status=" + status + " upstream=" + id(), router.now());
    router.metrics().count("upstream_rejections", "status", Integer.toString(status));
    if (misdirected) {
      router.fleet().health().unreachable(id(), router.now());
    }
    ticket.exclude(id());
    endGrant();
    if (attempts.rejected() && tryRetry()) {
      resubmit("rejected with status " + status);
    } else {
      giveUp(COME_BACK_SOON);
    }
  }

  @Override
  public void failed(Verdict failure, String cause) {
    if (over) {
      return;
    }
    trace.step("broken", "upstream=" + id() + " verdict=" + failure + " " + cause, router.now());
    router.metrics().count("upstream_failures", "verdict", failure.name());
    if (failure == Verdict.NOT_RUN) {
      router.fleet().health().unreachable(id(), router.now());
    } else {
      router.fleet().health().broken(id(), router.now());
    }
    ticket.exclude(id());
    endGrant();
    delivery.drop();
    if (failure == Verdict.NOT_RUN ? attempts.notConnected() : mayRunAgainAfter(failure)) {
      resubmit(failure == Verdict.NOT_RUN ? "not connected" : "broken off");
    } else {
      giveUp(COME_BACK_SOON);
    }
  }

  private boolean mayRunAgainAfter(Verdict failure) {
    attempts.ran(failure);
    return delivery.canContinue() && mayRunAgain();
  }

  /** Tells whether the request may run at one more upstream, and takes the retry if so. */
  private boolean mayRunAgain() {
    Duration left = Duration.ofNanos(ticket.deadlineNanos() - router.now());
    return attempts.mayRunAgain(route, left) && tryRetry();
  }

  private boolean tryRetry() {
    int routers = router.fleet().routerCount();
    return router.fleet().retries().tryRetry(ticket.service(), routers, router.now());
  }

  private void keepError(FullHttpResponse answer) {
    if (upstreamError != null) {
      upstreamError.release();
    }
    upstreamError = answer;
  }

  private void resubmit(String why) {
    trace.step("resubmitted", why, router.now());
    router.metrics().count("retries", "service", ticket.service().text());
    ticket.resubmitted(router.now());
    decide(router.scheduler().submit(ticket));
  }

  /** Ends a request that gets no further upstream. */
  private void giveUp(Duration retryAfter) {
    if (delivery.isRelaying()) {
      finish(HttpResponseStatus.BAD_GATEWAY.code());
      session.breakOff();
    } else if (upstreamError != null) {
      FullHttpResponse answer = upstreamError;
      upstreamError = null;
      deliver(answer);
    } else if (attempts.verdict() == Verdict.NOT_RUN) {
      refuse(ErrorCode.NO_UPSTREAM, retryAfter);
    } else {
      answerError(HttpResponseStatus.BAD_GATEWAY, ErrorCode.UPSTREAM_FAILED);
    }
  }

  private void timedOut() {
    if (over) {
      return;
    }
    boolean sent = exchange != null && grant != null && !exchange.isOver();
    trace.step("timeout", "sent=" + sent, router.now());
    abandon();
    if (delivery.isRelaying()) {
      finish(HttpResponseStatus.GATEWAY_TIMEOUT.code());
      session.breakOff();
    } else if (upstreamError != null || (!sent && attempts.verdict() == Verdict.NOT_RUN)) {
      giveUp(COME_BACK_LATER);
    } else {
      answerError(HttpResponseStatus.GATEWAY_TIMEOUT, ErrorCode.UPSTREAM_TIMEOUT);
    }
  }

  /** Stops all work, since the caller closed its connection. */
  void callerLeft() {
    if (over) {
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
    endGrant();
    if (ticket != null) {
      router.scheduler().withdraw(ticket);
    }
  }

  private void endGrant() {
    if (grant != null) {
      router.scheduler().finished(grant, outputSeen);
      router.loadChanged();
      router.pollSoon();
    }
    exchange = null;
    grant = null;
  }

  private void deliver(FullHttpResponse answer) {
    finish(answer.status().code());
    session.answer(answer);
  }

  private void refuse(ErrorCode code, Duration retryAfter) {
    FullHttpResponse answer = Replies.error(HttpResponseStatus.SERVICE_UNAVAILABLE, code);
    double seconds = retryAfter.toNanos() / NANOS_PER_SECOND;
    answer.headers().set(HttpHeaderNames.RETRY_AFTER, String.format(Locale.ROOT, "%.2f", seconds));
    answerOwn(answer);
  }

  private void answerError(HttpResponseStatus status, ErrorCode code) {
    answerOwn(Replies.error(status, code));
  }

  private void answerOwn(FullHttpResponse answer) {
    if (terms != null) {
      answer.headers().add(router.dialect().ownHeaders(terms.requestId()));
    }
    finish(answer.status().code());
    session.answer(answer);
  }

  private void finish(int status) {
    over = true;
    if (timer != null) {
      timer.cancel(false);
    }
    if (ticket != null) {
      router.forget(ticket.number());
    }
    delivery.drop();
    if (upstreamError != null) {
      upstreamError.release();
      upstreamError = null;
    }
    body.release();
    report(status);
  }

  private void report(int status) {
    long now = router.now();
    String kind = route == null ? "none" : route.kind().name();
    router.metrics().request(kind, team.orElse(NO_TEAM).text(), status, now - arrivedNanos);
    boolean bad = status == 0 || status >= FIRST_ERROR;
    if (bad || router.drawSample()) {
      trace.step(
          "finished",
          "status="
              + status
              + " runs="
              + attempts.runs()
              + " parts="
              + delivery.parts()
              + " stream_ms="
              + (outputSeen ? (now - firstOutputNanos) / NANOS_PER_MS : 0),
          now);
      trace.write(router.log(), terms == null ? "none" : terms.requestId());
    }
  }
}
