package org.dandelionbeam.entry.wiring;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.dandelionbeam.base.ErrorCode;
import org.dandelionbeam.base.UpstreamId;
import org.dandelionbeam.base.Verdict;
import org.dandelionbeam.config.Configuration;
import org.dandelionbeam.config.ServiceType;
import org.dandelionbeam.config.Upstream;
import org.dandelionbeam.dispatch.DispatchPort;
import org.dandelionbeam.entry.ClaimPort;
import org.dandelionbeam.entry.FlowAction;
import org.dandelionbeam.entry.RequestFlow;
import org.dandelionbeam.entry.StreamPosition;
import org.dandelionbeam.upstream.ExchangeFault;
import org.dandelionbeam.upstream.wiring.Exchange;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.MDC;

/**
 * Performs the actions of the {@link RequestFlow} of one request: dispatch, exchange with the
 * upstream, claim and response.
 */
final class RequestRelay {
  private static final Logger LOG = LoggerFactory.getLogger(RequestRelay.class);
  private static final Duration STREAM_IDLE_TIMEOUT = Duration.ofSeconds(15);
  private static final Duration CANCEL_IDLE_TIMEOUT = Duration.ofSeconds(2);

  private final EntryState state;
  private final ValidatedRequest request;
  private final CallerChannel caller;
  private final RequestFlow flow;
  private final Runnable onEnd;
  private Exchange exchange;
  private ResponseListener listener;
  private Upstream upstream;
  private int attempt;
  private Future<?> deadlineTimer;
  private boolean claimHeld;
  private boolean finished;

  RequestRelay(EntryState state, ValidatedRequest request, CallerChannel caller, Runnable onEnd) {
    this.state = state;
    this.request = request;
    this.caller = caller;
    this.onEnd = onEnd;
    double retryShare = configuration().map(c -> c.limits().retryShare()).orElse(0.0);
    flow =
        RequestFlow.of(
            request.descriptor(),
            state.retryBudget(request.service().id(), retryShare),
            state.context().random());
  }

  void start() {
    scheduleDeadline();
    if (request.idempotencyKey().isEmpty() || request.descriptor().idempotent()) {
      perform(flow.start());
      return;
    }
    state
        .context()
        .claims()
        .claim(
            request.team().id(),
            request.service().id(),
            request.idempotencyKey(),
            request.descriptor().request(),
            claim -> state.loop().execute(() -> claimDecided(claim)));
  }

  void startAdopted(StreamPosition position, int startedAttempt) {
    scheduleDeadline();
    Optional<Upstream> target = configuration().flatMap(c -> c.upstream(position.upstream()));
    if (target.isEmpty()) {
      refuse(
          ErrorCode.STREAM_BROKEN,
          Verdict.MAY_HAVE_RUN,
          "the configuration no longer has the engine",
          Duration.ZERO);
      return;
    }
    upstream = target.get();
    attempt = startedAttempt;
    listener = StreamResponseListener.adopted(this, position.offset());
    perform(flow.adoptStream(position.upstream(), startedAttempt, position.offset(), now()));
  }

  void callerGone() {
    double soFar = listener == null ? 0 : listener.costSoFar();
    perform(flow.callerGone(soFar, now()));
    finish(0);
  }

  void writabilityChanged(boolean writable) {
    if (exchange != null) {
      exchange.setReading(writable);
    }
  }

  // Used by the listeners of exchanges.

  ValidatedRequest request() {
    return request;
  }

  CallerChannel caller() {
    return caller;
  }

  EntryState state() {
    return state;
  }

  RequestFlow flow() {
    return flow;
  }

  UpstreamId upstreamId() {
    return upstream.id();
  }

  int attempt() {
    return attempt;
  }

  long now() {
    return state.context().clock().nanos();
  }

  Exchange exchange() {
    return exchange;
  }

  boolean matchesRequest(HttpResponse head) {
    String requestId = head.headers().get(ValidatedRequest.REQUEST_ID);
    String exchangeId = head.headers().get(ValidatedRequest.EXCHANGE_ID);
    return (requestId == null || requestId.equals(request.descriptor().request().name()))
        && (exchangeId == null || exchangeId.equals(request.exchangeId(attempt)));
  }

  void perform(List<FlowAction> actions) {
    actions.forEach(this::perform);
  }

  /** Abandons the exchange, cancels it at the engine and reports the fault to the flow. */
  void failExchange(ExchangeFault fault) {
    exchange.abandon();
    cancelAtEngine();
    perform(flow.failed(fault, now()));
  }

  void finish(int status) {
    if (finished) {
      return;
    }
    finished = true;
    deadlineTimer.cancel(false);
    state.releaseOpen(request.team().id());
    state.removeRelay(this);
    recordClaim(status);
    onEnd.run();
  }

  /** Ends a running stream with an event that tells the caller to resume at another address. */
  void moveAway() {
    if (request.stream() && listener != null && listener.isRelaying() && !flow.isOver()) {
      exchange.abandon();
      perform(flow.streamMovedAway(listener.costSoFar(), now()));
    }
  }

  private void scheduleDeadline() {
    state.addRelay(this);
    long wait = request.descriptor().deadlineNanos() - now();
    deadlineTimer = state.loop().schedule(this::deadlinePassed, wait, TimeUnit.NANOSECONDS);
  }

  private Optional<Configuration> configuration() {
    return state.context().configuration().get();
  }

  private void claimDecided(ClaimPort.Answer claim) {
    if (claim instanceof ClaimPort.Answer.Refused refused) {
      if (!finished && !flow.isOver()) {
        refuse(refused.code(), refused.verdict(), refused.detail(), Duration.ZERO);
      }
      return;
    }
    claimHeld = true;
    if (finished || flow.isOver()) {
      recordClaim(0);
    } else {
      perform(flow.start());
    }
  }

  private void recordClaim(int status) {
    if (claimHeld) {
      state
          .context()
          .claims()
          .finished(
              request.team().id(),
              request.service().id(),
              request.idempotencyKey(),
              request.descriptor().request(),
              flow.verdict(),
              status);
    }
  }

  private void deadlinePassed() {
    perform(flow.deadlinePassed(now()));
  }

  private void perform(FlowAction action) {
    if (action instanceof FlowAction.Submit submit) {
      submit(submit);
    } else if (action instanceof FlowAction.Withdraw withdraw) {
      state.context().dispatch().cancel(request.descriptor().request(), withdraw.attempt());
    } else if (action instanceof FlowAction.Send send) {
      send(send);
    } else if (action instanceof FlowAction.Resume resume) {
      resume(resume);
    } else if (action instanceof FlowAction.Abandon) {
      abandon();
    } else if (action instanceof FlowAction.Complete complete) {
      complete(complete.completion());
    } else if (action instanceof FlowAction.Fail fail) {
      fail(fail);
    }
  }

  private void submit(FlowAction.Submit submit) {
    runAfter(
        submit.delay(),
        () -> state.context().dispatch().submit(submit.ticket(), new TicketListener(submit)));
  }

  private void runAfter(Duration delay, Runnable task) {
    if (delay.isZero()) {
      task.run();
      return;
    }
    state
        .loop()
        .schedule(
            () -> {
              if (!flow.isOver()) {
                task.run();
              }
            },
            delay.toNanos(),
            TimeUnit.NANOSECONDS);
  }

  private void send(FlowAction.Send send) {
    Optional<Upstream> target = configuration().flatMap(c -> c.upstream(send.upstream()));
    attempt = send.attempt();
    if (target.isEmpty()) {
      perform(flow.failed(ExchangeFault.CONNECT_FAILED, now()));
      return;
    }
    upstream = target.get();
    journal("sent", "attempt " + attempt + " to " + upstream.name());
    listener =
        request.stream() ? StreamResponseListener.fresh(this) : new BufferedResponseListener(this);
    connect(request.toUpstreamRequest(upstream, attempt), request.descriptor().idempotent());
  }

  private void resume(FlowAction.Resume resume) {
    attempt = resume.attempt();
    journal("resumed", "stream after offset " + resume.afterOffset() + " at " + upstream.name());
    FullHttpRequest resumeRequest =
        request.toExchangeRequest(
            HttpMethod.GET, upstream, attempt, "/events?after=" + resume.afterOffset());
    runAfter(resume.delay(), () -> connect(resumeRequest, false));
  }

  private void connect(FullHttpRequest upstreamRequest, boolean reuse) {
    Duration idleTimeout = request.stream() ? STREAM_IDLE_TIMEOUT : remaining();
    InetSocketAddress address = new InetSocketAddress(upstream.host(), upstream.port());
    exchange = state.client().send(address, upstreamRequest, reuse, idleTimeout, listener);
  }

  private Duration remaining() {
    return Duration.ofNanos(Math.max(1, request.descriptor().deadlineNanos() - now()));
  }

  private void abandon() {
    if (exchange != null) {
      exchange.abandon();
      cancelAtEngine();
    }
  }

  private void cancelAtEngine() {
    if (request.service().type() == ServiceType.MODEL) {
      FullHttpRequest cancel = request.toExchangeRequest(HttpMethod.DELETE, upstream, attempt, "");
      InetSocketAddress address = new InetSocketAddress(upstream.host(), upstream.port());
      state
          .client()
          .send(address, cancel, true, CANCEL_IDLE_TIMEOUT, new IgnoredResponseListener());
    }
  }

  private void complete(DispatchPort.Completion completion) {
    state.context().dispatch().complete(completion);
    journal(
        "completed",
        "attempt %d %s, cost %.0f"
            .formatted(completion.attempt(), completion.outcome(), completion.cost()));
    if (completion.outcome() == DispatchPort.Outcome.ANSWERED) {
      String service = request.service().name();
      String team = request.team().name();
      state.firstByteTimer(service, team).record(completion.firstByteNanos(), TimeUnit.NANOSECONDS);
      state.costSummary(service, team).record(completion.cost());
    }
  }

  private void fail(FlowAction.Fail fail) {
    if (listener != null && listener.isRelaying()) {
      listener.abort(fail);
      finish(fail.code().httpStatus());
    } else {
      refuse(fail.code(), fail.verdict(), fail.detail(), fail.retryAfter());
    }
  }

  private void refuse(ErrorCode code, Verdict verdict, String detail, Duration retryAfter) {
    journal("refused", code + " " + verdict + ": " + detail);
    state.countRefusal(code.name());
    logRefusal(code, verdict, detail);
    caller.respond(Responses.problem(code, verdict, detail, retryAfter));
    finish(code.httpStatus());
  }

  private void logRefusal(ErrorCode code, Verdict verdict, String detail) {
    MDC.put("request", request.descriptor().request().name());
    MDC.put("team", request.team().name());
    MDC.put("code", code.name());
    LOG.info("request ended with {} {}: {}", code, verdict, detail);
    MDC.clear();
  }

  private void journal(String step, String detail) {
    state.context().journal().recordRequest(request.descriptor().request(), step, detail);
  }

  /** Passes the decision on a ticket from the dispatch thread to the event loop of the entry. */
  private final class TicketListener implements DispatchPort.Listener {
    private final FlowAction.Submit submit;

    TicketListener(FlowAction.Submit submit) {
      this.submit = submit;
    }

    @Override
    public void granted(DispatchPort.Grant grant) {
      state.loop().execute(() -> perform(flow.granted(grant, now())));
    }

    @Override
    public void refused(DispatchPort.Refusal refusal) {
      int refusedAttempt = submit.ticket().attempt();
      state.loop().execute(() -> perform(flow.refused(refusal, refusedAttempt)));
    }
  }
}
