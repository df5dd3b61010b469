package org.dandelionbeam.entry;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.dandelionbeam.base.ErrorCode;
import org.dandelionbeam.base.UpstreamId;
import org.dandelionbeam.base.Verdict;
import org.dandelionbeam.dispatch.DispatchPort.Completion;
import org.dandelionbeam.dispatch.DispatchPort.Grant;
import org.dandelionbeam.dispatch.DispatchPort.Outcome;
import org.dandelionbeam.dispatch.DispatchPort.Refusal;
import org.dandelionbeam.dispatch.TicketRequest;
import org.dandelionbeam.upstream.ExchangeFault;

/**
 * State machine of one request: takes events and returns the actions to perform. Decides when to
 * ask for an upstream, send, retry, resume and fail, and with which verdict.
 */
public final class RequestFlow {
  private static final int MAX_ATTEMPTS = 4;
  private static final int MAX_RESUMES = 8;
  private static final long BACKOFF_BASE_MILLIS = 10;
  private static final long RESUME_DELAY_STEP_MILLIS = 50;

  private enum State {
    QUEUED,
    SENT,
    RESPONDING,
    ENDED
  }

  private final RequestDescriptor descriptor;
  private final RetryBudget budget;
  private final RandomGenerator random;
  private final Set<UpstreamId> avoid = new HashSet<>();
  private State state = State.QUEUED;
  private Verdict verdict = Verdict.NOT_RUN;
  private UpstreamId upstream;
  private int attempt;
  private int resumes;
  private long sentNanos;
  private long firstByteNanos;

  private RequestFlow(RequestDescriptor descriptor, RetryBudget budget, RandomGenerator random) {
    this.descriptor = descriptor;
    this.budget = budget;
    this.random = random;
  }

  /**
   * Creates the flow of a request.
   *
   * @param descriptor attributes of the request
   * @param budget retry budget of the service
   * @param random source of the jitter of retries
   * @return a flow that has not started
   */
  public static RequestFlow of(
      RequestDescriptor descriptor, RetryBudget budget, RandomGenerator random) {
    requireNonNull(descriptor, "descriptor");
    requireNonNull(budget, "budget");
    return new RequestFlow(descriptor, budget, requireNonNull(random, "random"));
  }

  /**
   * Resumes a stream that another router started. The slot belongs to that router, which also frees
   * it.
   *
   * @param engine the engine that runs the exchange
   * @param startedAttempt number of the attempt that started the stream
   * @param lastOffset offset of the last event that the caller has received
   * @param nowNanos current monotonic time in nanoseconds
   * @return the action that resumes the stream
   */
  public List<FlowAction> adoptStream(
      UpstreamId engine, int startedAttempt, long lastOffset, long nowNanos) {
    state = State.RESPONDING;
    verdict = Verdict.MAY_HAVE_RUN;
    upstream = engine;
    attempt = startedAttempt;
    sentNanos = nowNanos;
    return List.of(new FlowAction.Resume(engine, startedAttempt, lastOffset, Duration.ZERO));
  }

  /**
   * Starts the first attempt.
   *
   * @return the action that submits the first ticket
   */
  public List<FlowAction> start() {
    return List.of(nextTicket(Duration.ZERO));
  }

  /**
   * Handles a grant of dispatch.
   *
   * @param grant the granted upstream and attempt
   * @param nowNanos current monotonic time in nanoseconds
   * @return the action that sends the request, or frees the slot of a grant that is no longer
   *     needed
   */
  public List<FlowAction> granted(Grant grant, long nowNanos) {
    if (state != State.QUEUED || grant.attempt() != attempt) {
      return List.of(releaseUnused(grant));
    }
    state = State.SENT;
    upstream = grant.upstream();
    sentNanos = nowNanos;
    firstByteNanos = 0;
    return List.of(new FlowAction.Send(upstream, attempt));
  }

  /**
   * Handles a refusal of dispatch.
   *
   * @param refusal code and detail of the refusal
   * @param refusedAttempt number of the attempt that the ticket was for
   * @return the error for the caller
   */
  public List<FlowAction> refused(Refusal refusal, int refusedAttempt) {
    if (state != State.QUEUED || refusedAttempt != attempt) {
      return List.of();
    }
    state = State.ENDED;
    return List.of(
        new FlowAction.Fail(refusal.code(), verdict, refusal.detail(), refusal.retryAfter()));
  }

  /**
   * Records the time of the first byte of the response.
   *
   * @param nowNanos current monotonic time in nanoseconds
   */
  public void firstByteReceived(long nowNanos) {
    if (firstByteNanos == 0) {
      firstByteNanos = nowNanos - sentNanos;
    }
  }

  /**
   * Handles a response that is accepted for the caller; no further attempt follows.
   *
   * @return the action that relays the response
   */
  public List<FlowAction> responseAccepted() {
    if (state != State.SENT) {
      return List.of();
    }
    state = State.RESPONDING;
    verdict = Verdict.RAN;
    return List.of(new FlowAction.Relay());
  }

  /**
   * Handles a failure of the exchange with the upstream.
   *
   * @param fault how the exchange failed
   * @param nowNanos current monotonic time in nanoseconds
   * @return the end of this attempt, then the next attempt or the error for the caller
   */
  public List<FlowAction> failed(ExchangeFault fault, long nowNanos) {
    if (state != State.SENT && state != State.RESPONDING) {
      return List.of();
    }
    List<FlowAction> actions = new ArrayList<>();
    actions.add(complete(outcomeOf(fault), 0, nowNanos));
    boolean relaying = state == State.RESPONDING;
    verdict = verdict.join(fault.verdict());
    if (!relaying && mayRetry(fault, nowNanos)) {
      avoid.add(upstream);
      actions.add(nextTicket(backoff()));
    } else {
      state = State.ENDED;
      actions.add(failure(fault.code(), "upstream exchange ended with " + fault));
    }
    return actions;
  }

  /**
   * Handles a connection that broke in the middle of a stream.
   *
   * @param fault how the exchange failed
   * @param lastOffset offset of the last event that the caller has received, 0 for none
   * @param nowNanos current monotonic time in nanoseconds
   * @return the action that resumes at the same upstream, or the error for the caller
   */
  public List<FlowAction> streamBroken(ExchangeFault fault, long lastOffset, long nowNanos) {
    if (state != State.RESPONDING) {
      return failed(fault, nowNanos);
    }
    if (resumes < MAX_RESUMES && nowNanos - descriptor.deadlineNanos() < 0) {
      Duration delay = Duration.ofMillis(RESUME_DELAY_STEP_MILLIS * resumes);
      resumes++;
      return List.of(new FlowAction.Resume(upstream, attempt, lastOffset, delay));
    }
    state = State.ENDED;
    return List.of(
        complete(Outcome.BROKEN, lastOffset, nowNanos),
        failure(ErrorCode.STREAM_BROKEN, "stream ended with " + fault));
  }

  /**
   * Handles the refusal of an upstream to resume a stream, for instance since it no longer has it.
   *
   * @param lastOffset offset of the last event that the caller has received
   * @param nowNanos current monotonic time in nanoseconds
   * @return the error for the caller
   */
  public List<FlowAction> resumeRefused(long lastOffset, long nowNanos) {
    resumes = MAX_RESUMES;
    return streamBroken(ExchangeFault.CONNECTION_LOST, lastOffset, nowNanos);
  }

  /**
   * Ends a running stream at a router that stops. The engine continues and the caller resumes the
   * stream through another router.
   *
   * @param costSoFar cost of the work known to be done, in the cost unit of the service
   * @param nowNanos current monotonic time in nanoseconds
   * @return the end of the attempt and the error that tells the caller to resume
   */
  public List<FlowAction> streamMovedAway(double costSoFar, long nowNanos) {
    if (state != State.RESPONDING) {
      return List.of();
    }
    state = State.ENDED;
    return List.of(
        complete(Outcome.ABANDONED, costSoFar, nowNanos),
        failure(
            ErrorCode.STOPPING,
            "the router stops; resume at another address with the last event id"));
  }

  /**
   * Handles the end of a complete response.
   *
   * @param cost measured cost in the cost unit of the service
   * @param nowNanos current monotonic time in nanoseconds
   * @return the action that reports the end of the attempt
   */
  public List<FlowAction> responseCompleted(double cost, long nowNanos) {
    if (state != State.RESPONDING) {
      return List.of();
    }
    state = State.ENDED;
    budget.recordSuccess();
    return List.of(complete(Outcome.ANSWERED, cost, nowNanos));
  }

  /**
   * Handles the end of a complete response that reports an error of the upstream. Its duration is
   * not counted, since it says nothing about the speed of the upstream.
   *
   * @param cost measured cost in the cost unit of the service
   * @param nowNanos current monotonic time in nanoseconds
   * @return the action that reports the end of the attempt
   */
  public List<FlowAction> errorResponseCompleted(double cost, long nowNanos) {
    if (state != State.RESPONDING) {
      return List.of();
    }
    state = State.ENDED;
    return List.of(complete(Outcome.BROKEN, cost, nowNanos));
  }

  /**
   * Handles the loss of the connection to the caller.
   *
   * @param costSoFar cost of the work known to be done, in the cost unit of the service
   * @param nowNanos current monotonic time in nanoseconds
   * @return the actions that withdraw the ticket or free the slot
   */
  public List<FlowAction> callerGone(double costSoFar, long nowNanos) {
    State before = state;
    state = State.ENDED;
    return switch (before) {
      case QUEUED -> List.of(new FlowAction.Withdraw(attempt));
      case SENT, RESPONDING -> {
        verdict = verdict.join(Verdict.MAY_HAVE_RUN);
        yield List.of(new FlowAction.Abandon(), complete(Outcome.ABANDONED, costSoFar, nowNanos));
      }
      case ENDED -> List.of();
    };
  }

  /**
   * Handles the passing of the deadline.
   *
   * @param nowNanos current monotonic time in nanoseconds
   * @return the error for the caller
   */
  public List<FlowAction> deadlinePassed(long nowNanos) {
    State before = state;
    state = State.ENDED;
    return switch (before) {
      case QUEUED ->
          List.of(
              new FlowAction.Withdraw(attempt),
              failure(ErrorCode.DEADLINE_EXCEEDED, "no upstream was free in time"));
      case SENT, RESPONDING -> {
        verdict = verdict.join(Verdict.MAY_HAVE_RUN);
        yield List.of(
            new FlowAction.Abandon(),
            complete(Outcome.BROKEN, 0, nowNanos),
            failure(ErrorCode.UPSTREAM_TIMEOUT, "the answer was not whole in time"));
      }
      case ENDED -> List.of();
    };
  }

  /**
   * Returns whether the request has ended.
   *
   * @return true after completion, failure or loss of the caller
   */
  public boolean isOver() {
    return state == State.ENDED;
  }

  /**
   * Returns whether an attempt was sent to an upstream and has not ended.
   *
   * @return true between grant and end
   */
  public boolean isRunning() {
    return state == State.SENT || state == State.RESPONDING;
  }

  /**
   * Returns the combined verdict of all attempts.
   *
   * @return the verdict
   */
  public Verdict verdict() {
    return verdict;
  }

  private boolean mayRetry(ExchangeFault fault, long nowNanos) {
    return verdict.mayBeSentAgain(descriptor.idempotent())
        && fault.verdict().mayBeSentAgain(descriptor.idempotent())
        && attempt < MAX_ATTEMPTS
        && nowNanos - descriptor.deadlineNanos() < 0
        && budget.tryAcquire();
  }

  private FlowAction nextTicket(Duration delay) {
    state = State.QUEUED;
    attempt++;
    return new FlowAction.Submit(
        new TicketRequest(
            descriptor.request(),
            attempt,
            descriptor.team(),
            descriptor.service(),
            descriptor.kind(),
            descriptor.model(),
            descriptor.prefixHash(),
            descriptor.costHint(),
            descriptor.deadlineNanos(),
            avoid),
        delay);
  }

  private Duration backoff() {
    long boundMillis = BACKOFF_BASE_MILLIS << attempt;
    return Duration.ofMillis(random.nextLong(boundMillis) + 1);
  }

  private FlowAction complete(Outcome outcome, double cost, long nowNanos) {
    return new FlowAction.Complete(
        new Completion(
            descriptor.request(),
            attempt,
            upstream,
            outcome,
            cost,
            firstByteNanos,
            nowNanos - sentNanos));
  }

  private static FlowAction releaseUnused(Grant grant) {
    return new FlowAction.Complete(
        new Completion(
            grant.request(), grant.attempt(), grant.upstream(), Outcome.ABANDONED, 0, 0, 0));
  }

  private FlowAction failure(ErrorCode code, String detail) {
    return new FlowAction.Fail(code, verdict, detail, Duration.ZERO);
  }

  private static Outcome outcomeOf(ExchangeFault fault) {
    return switch (fault) {
      case CONNECT_FAILED -> Outcome.UNREACHABLE;
      case REFUSED -> Outcome.OVERLOADED;
      case CONNECTION_LOST, TIMED_OUT, MALFORMED, MISMATCHED, GATEWAY_STATUS -> Outcome.BROKEN;
    };
  }
}
