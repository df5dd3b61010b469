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
 * Decides on the attempts of one request: when to ask for an upstream, to send, to retry, to resume
 * and to give up, and with which verdict.
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

  private final RequestPlan descriptor;
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

  private RequestFlow(RequestPlan descriptor, RetryBudget budget, RandomGenerator random) {
    this.descriptor = descriptor;
    this.budget = budget;
    this.random = random;
  }

  /**
   * Makes the flow of a request.
   *
   * @param descriptor the request
   * @param budget retries of its service
   * @param random source of jitter
   * @return a flow that waits for {@link #start}
   */
  public static RequestFlow of(RequestPlan descriptor, RetryBudget budget, RandomGenerator random) {
    requireNonNull(descriptor, "descriptor");
    requireNonNull(budget, "budget");
    return new RequestFlow(descriptor, budget, requireNonNull(random, "random"));
  }

  /**
   * Takes up a stream that another router had started; its slot is that router's affair.
   *
   * @param engine the engine that runs the exchange
   * @param startedAttempt the attempt that started it
   * @param lastOffset last offset that the caller has got
   * @param nowNanos monotonic time
   * @return the resume
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
   * @return the ticket to submit
   */
  public List<FlowAction> start() {
    return List.of(nextTicket(Duration.ZERO));
  }

  /**
   * Dispatch granted an upstream.
   *
   * @param grant the grant
   * @param nowNanos monotonic time
   * @return what to send; a grant that is not wanted any more is given back
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
   * Dispatch refused the ticket.
   *
   * @param refusal why
   * @param refusedAttempt the attempt of the ticket
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
   * The first byte of an answer came.
   *
   * @param nowNanos monotonic time
   */
  public void firstByteReceived(long nowNanos) {
    if (firstByteNanos == 0) {
      firstByteNanos = nowNanos - sentNanos;
    }
  }

  /**
   * An answer is good enough to be given to the caller; no other attempt follows.
   *
   * @return leave to relay it
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
   * The exchange with the upstream failed.
   *
   * @param fault how
   * @param nowNanos monotonic time
   * @return another attempt, or the error for the caller
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
   * The connection of a stream broke after some events.
   *
   * @param fault how
   * @param lastOffset last offset that the caller has got, 0 for none
   * @param nowNanos monotonic time
   * @return a resume at the same upstream, or the error for the caller
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
   * The stream can't be resumed since the upstream does not know it any more.
   *
   * @param lastOffset last offset that the caller has got
   * @param nowNanos monotonic time
   * @return the error for the caller
   */
  public List<FlowAction> resumeRefused(long lastOffset, long nowNanos) {
    resumes = MAX_RESUMES;
    return streamBroken(ExchangeFault.CONNECTION_LOST, lastOffset, nowNanos);
  }

  /**
   * The router stops while a stream runs; the engine goes on and the caller resumes elsewhere.
   *
   * @param costSoFar work that is known to be done, in the service's unit
   * @param nowNanos monotonic time
   * @return the error that tells the caller to resume
   */
  public List<FlowAction> streamMovedAway(double costSoFar, long nowNanos) {
    if (state != State.RESPONDING) {
      return List.of();
    }
    state = State.ENDED;
    return List.of(
        complete(Outcome.ABANDONED, costSoFar, nowNanos),
        failure(ErrorCode.STOPPING, "go on at another address with the last event id"));
  }

  /**
   * The answer is whole.
   *
   * @param cost measured cost in the service's unit
   * @param nowNanos monotonic time
   * @return the completion
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
   * The answer is whole and reports an error of the upstream, so its time says nothing about the
   * upstream's speed.
   *
   * @param cost measured cost in the service's unit
   * @param nowNanos monotonic time
   * @return the completion
   */
  public List<FlowAction> errorResponseCompleted(double cost, long nowNanos) {
    if (state != State.RESPONDING) {
      return List.of();
    }
    state = State.ENDED;
    return List.of(complete(Outcome.BROKEN, cost, nowNanos));
  }

  /**
   * The caller went away.
   *
   * @param costSoFar work that is known to be done, in the service's unit
   * @param nowNanos monotonic time
   * @return what gives back the ticket or the slot
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
   * The deadline of the request passed.
   *
   * @param nowNanos monotonic time
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
   * Tells whether the request needs nothing more.
   *
   * @return true after its end
   */
  public boolean isOver() {
    return state == State.ENDED;
  }

  /**
   * Tells whether the request has left for an upstream and its end is open.
   *
   * @return true between grant and end
   */
  public boolean isRunning() {
    return state == State.SENT || state == State.RESPONDING;
  }

  /**
   * Returns the joined verdict of all attempts.
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
