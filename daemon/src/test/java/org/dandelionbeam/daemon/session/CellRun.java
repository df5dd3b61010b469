package org.dandelionbeam.daemon.session;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/** Sends the request of one cell, injects the fault, and checks the invariants of the matrix. */
final class CellRun {
  private static final String TIMEOUT_HEADER = "X-Request-Timeout-Ms: 400";
  private static final String ANSWERED = "answered";
  private static final String UPSTREAM_FAILED = "UPSTREAM_FAILED MAY_HAVE_RUN";
  private static final long POLL_NANOS = TimeUnit.MICROSECONDS.toNanos(200);
  private static final long IDLE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(5);

  private final Cell cell;
  private final List<String> violations = new ArrayList<>();
  private Reply reply;

  private CellRun(Cell cell) {
    this.cell = cell;
  }

  /** Runs a cell on fresh routers and upstreams. */
  static CellResult run(Cell cell, EventLoop proxyLoop) {
    CellRun run = new CellRun(cell);
    try (CellFleet fleet = new CellFleet(cell, proxyLoop)) {
      run.execute(fleet);
    } catch (IOException e) {
      run.violations.add("test failed: " + e);
    }
    return new CellResult(cell, run.outcome(), run.violations);
  }

  private void execute(CellFleet fleet) throws IOException {
    reply = exchange(fleet);
    await("the fault was not injected", () -> fleet.isFaultInjected() || !cell.hasStep());
    if (cell.fault() != MatrixFault.ROUTER_KILLED) {
      awaitIdle(fleet);
    }
    if (cell.fault().mayCutTheCaller()) {
      checkContinuationAtOtherRouter(fleet);
    }
    long runs = fleet.runs();
    checkResponse(runs);
    if (cell.fault() != MatrixFault.ROUTER_KILLED) {
      checkNextRequest(fleet);
    }
  }

  private Reply exchange(CellFleet fleet) throws IOException {
    String request = cell.kind().request("first", cell.reference(), TIMEOUT_HEADER);
    int half = request.length() / 2;
    try (RawCaller caller = fleet.connect()) {
      fleet.reached(Step.ACCEPT);
      caller.send(request.substring(0, half));
      fleet.reached(Step.PARSE);
      caller.send(request.substring(half));
      return caller.read();
    } catch (IOException e) {
      return Reply.truncated("", "");
    }
  }

  private void checkResponse(long runs) {
    boolean own = reply.complete() && cell.kind().isOwnAnswer(reply, cell.reference());
    String verdict = reply.problem().path("verdict").asText("");
    check(
        own || !verdict.isEmpty() || cell.fault().mayCutTheCaller(),
        "the caller got neither its answer nor a problem: " + reply);
    check(own || !cell.mustBeAnswered(), "the caller did not get its answer: " + reply);
    check(!verdict.equals("NOT_RUN") || runs == 0, "said NOT_RUN, ran " + runs);
    check(!verdict.equals("RAN") || runs > 0, "said RAN, never ran");
    check(!own || runs > 0, "answered, never ran");
    check(runs <= cell.kind().maxRuns(), "ran " + runs + " times");
    check(!reply.body().contains("crossed"), "got the answer of another request: " + reply);
  }

  private void awaitIdle(CellFleet fleet) {
    await("a request is open", () -> fleet.router().openRequests() == 0);
    await("a slot is taken", () -> fleet.dispatch().openSlots() == 0);
    await("a ticket waits", () -> fleet.dispatch().waiting() == 0);
    await("an engine still runs it", () -> fleet.runningAtEngines() == 0);
    await("an upstream connection is busy", () -> fleet.proxy().busyConnections() == 0);
    check(fleet.dispatch().unexpectedCompletions() == 0, "completed what was not granted");
  }

  /** Checks that the next request after the fault has ended gets its own answer. */
  private void checkNextRequest(CellFleet fleet) throws IOException {
    fleet.heal();
    MatrixKind kind = MatrixKind.STREAM == cell.kind() ? cell.kind() : MatrixKind.IDEMPOTENT;
    try (RawCaller caller = RawCaller.connect(fleet.router().port())) {
      caller.send(kind.request("second", "after", "X-Request-Timeout-Ms: 4000"));
      Reply second = caller.read();
      check(kind.isOwnAnswer(second, "after"), "after the fault the caller got " + second);
    }
    awaitIdle(fleet);
  }

  /**
   * Checks that the caller can continue at another router, with its event id or idempotency key.
   */
  private void checkContinuationAtOtherRouter(CellFleet fleet) throws IOException {
    List<String> ids = reply.eventIds();
    boolean killed = cell.fault() == MatrixFault.ROUTER_KILLED;
    if (cell.kind() == MatrixKind.STREAM && killed && !ids.isEmpty() && !reply.complete()) {
      String last = "Last-Event-ID: " + ids.get(ids.size() - 1);
      Reply rest =
          exchange(fleet.otherRouter(), cell.kind().request("rest", cell.reference(), last));
      Reply joined = Reply.complete(reply.head(), completeEvents(reply.body()) + rest.body());
      check(
          rest.complete() && cell.kind().isOwnAnswer(joined, cell.reference()),
          "the stream went on with " + rest + " after " + reply);
    } else if (cell.kind() == MatrixKind.KEYED) {
      Reply again = exchange(fleet.otherRouter(), cell.kind().request("again", cell.reference()));
      boolean claimed = again.problem().path("code").asText().equals("ALREADY_CLAIMED");
      check(
          claimed || cell.kind().isOwnAnswer(again, cell.reference()),
          "with its key the caller got " + again);
    }
  }

  private static Reply exchange(TestRouter router, String request) throws IOException {
    try (RawCaller caller = RawCaller.connect(router.port())) {
      caller.send(request);
      return caller.read();
    }
  }

  private static String completeEvents(String body) {
    return body.substring(0, body.lastIndexOf("\n\n") + 2);
  }

  private void await(String violation, BooleanSupplier condition) {
    long start = System.nanoTime();
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() - start > IDLE_TIMEOUT_NANOS) {
        violations.add("after 5 s " + violation);
        return;
      }
      LockSupport.parkNanos(POLL_NANOS);
    }
  }

  private void check(boolean condition, String violation) {
    if (!condition) {
      violations.add(violation);
    }
  }

  private String outcome() {
    if (!cell.hasStep()) {
      return "-";
    }
    if (cell.fault().mayCutTheCaller()) {
      return cell.fault() == MatrixFault.CALLER_GONE ? "gone" : "killed";
    }
    String code = reply.problem().path("code").asText("");
    String verdict = reply.problem().path("verdict").asText("");
    String outcome = code.isEmpty() ? ANSWERED : code + " " + verdict;
    boolean either =
        cell.mayOccurBeforeSending() && List.of(ANSWERED, UPSTREAM_FAILED).contains(outcome);
    return either ? ANSWERED + " or " + UPSTREAM_FAILED : outcome;
  }
}
