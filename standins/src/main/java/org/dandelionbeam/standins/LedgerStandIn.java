package org.dandelionbeam.standins;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpMethod;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** HTTP service with bookings and payments that counts how often each request ran. */
public final class LedgerStandIn implements AutoCloseable {
  private static final String CROSSED_ID = "crossed";

  private final Map<String, Integer> runsByRequest = new HashMap<>();
  private final Map<String, Integer> runsByReference = new HashMap<>();
  private final Map<String, ObjectNode> entries = new HashMap<>();
  private final Duration serviceTime;
  private final StandInServer server;
  private int openRequests;
  private int maxOpenRequests;

  private LedgerStandIn(int port, Duration serviceTime) {
    this.serviceTime = serviceTime;
    server = StandInServer.start(port, new LedgerCallHandler());
  }

  /**
   * Starts a ledger.
   *
   * @param port TCP port, 0 for any free one
   * @param serviceTime time from a request to its response
   * @return the running ledger
   */
  public static LedgerStandIn start(int port, Duration serviceTime) {
    return new LedgerStandIn(port, serviceTime);
  }

  /**
   * Returns the port that the ledger listens on.
   *
   * @return a TCP port on loopback
   */
  public int port() {
    return server.port();
  }

  /**
   * Returns how often a request ran.
   *
   * @param requestId value of the request's X-Request-Id header
   * @return 0 if it never ran
   */
  public int runsOfRequest(String requestId) {
    return server.callOnLoop(() -> runsByRequest.getOrDefault(requestId, 0));
  }

  /**
   * Returns how many requests of any kind ran.
   *
   * @return the count, repeated runs included
   */
  public long requestRuns() {
    return server.callOnLoop(
        () -> runsByRequest.values().stream().mapToLong(Integer::longValue).sum());
  }

  /**
   * Returns how often a booking or payment with a reference ran.
   *
   * @param reference the reference in the body
   * @return 0 if it never ran
   */
  public int runsOfReference(String reference) {
    return server.callOnLoop(() -> runsByReference.getOrDefault(reference, 0));
  }

  /**
   * Returns how many references ran more than once.
   *
   * @return the count since the start
   */
  public long duplicatedReferences() {
    return server.callOnLoop(
        () -> runsByReference.values().stream().filter(runs -> runs > 1).count());
  }

  /**
   * Returns how many bookings and payments ran.
   *
   * @return the count, repeated runs of a reference included
   */
  public long writeRuns() {
    return server.callOnLoop(
        () -> runsByReference.values().stream().mapToLong(Integer::longValue).sum());
  }

  /**
   * Returns the largest number of requests that ran at once.
   *
   * @return the maximum since the start
   */
  public int maxOpenRequests() {
    return server.callOnLoop(() -> maxOpenRequests);
  }

  /**
   * Returns how many connections are open.
   *
   * @return the count now
   */
  public int openConnections() {
    return server.openConnections();
  }

  /**
   * Activates a fault, which replaces the active one.
   *
   * @param plan the fault and the requests that it affects
   */
  public void arm(FaultPlan plan) {
    server.arm(plan);
  }

  /** Deactivates all faults. */
  public void clearFaults() {
    server.clearFaults();
  }

  @Override
  public void close() {
    server.close();
  }

  private ObjectNode runsReport() {
    ObjectNode report = Json.object();
    report.put("requests", runsByRequest.size());
    report.put("references", runsByReference.size());
    report.put("maxOpen", maxOpenRequests);
    report.put(
        "maxRunsOfReference",
        runsByReference.values().stream().max(Comparator.naturalOrder()).orElse(0));
    report.put("doubled", runsByReference.values().stream().filter(runs -> runs > 1).count());
    return report;
  }

  private Answer createEntry(String type, Call call, String requestId) {
    String reference = call.json().path("reference").asText("");
    if (reference.isEmpty()) {
      return Answer.of(422, Json.object().put("error", "reference is missing")).notRun();
    }
    runsByReference.merge(reference, 1, Integer::sum);
    String id = type + "-" + AnswerText.checksum(reference);
    ObjectNode entry = Json.object().put("id", id).put("reference", reference);
    entry.put("requestId", requestId);
    entries.put(id, entry);
    return Answer.of(201, entry);
  }

  private Answer readEntry(String id) {
    ObjectNode entry = entries.get(id);
    return entry == null
        ? Answer.of(404, Json.object().put("error", "no entry " + id))
        : Answer.of(200, entry);
  }

  private Answer execute(Call call, String requestId) {
    String path = call.path();
    String last = path.substring(path.lastIndexOf('/') + 1);
    if (call.method().equals(HttpMethod.POST) && path.equals("/bookings")) {
      return createEntry("booking", call, requestId);
    }
    if (call.method().equals(HttpMethod.POST) && path.equals("/payments")) {
      return createEntry("payment", call, requestId);
    }
    if (call.method().equals(HttpMethod.GET) && path.startsWith("/bookings/")) {
      return readEntry(last);
    }
    if (call.method().equals(HttpMethod.GET) && path.startsWith("/checks/")) {
      return Answer.of(200, Json.object().put("id", last).put("valid", entries.containsKey(last)));
    }
    return Answer.of(404, Json.object().put("error", "no such call")).notRun();
  }

  private static Answer crossedResponse() {
    ObjectNode other = Json.object().put("id", CROSSED_ID).put("reference", CROSSED_ID);
    return Answer.of(201, other).with(Answer.REQUEST_ID, CROSSED_ID);
  }

  private final class LedgerCallHandler implements StandInServer.CallHandler {
    @Override
    public void handle(Call call) {
      if (call.path().equals("/runs")) {
        call.send(Answer.of(200, runsReport()));
        return;
      }
      Optional<FaultPlan> plan = server.drawFault();
      Fault fault = plan.map(FaultPlan::fault).orElse(null);
      if (fault == Fault.RESET_BEFORE_RUN) {
        call.reset();
        return;
      }
      String requestId = call.header(Answer.REQUEST_ID, "");
      if (fault == Fault.OVERLOADED) {
        call.send(overloaded().with(Answer.REQUEST_ID, requestId));
        return;
      }
      runsByRequest.merge(requestId, 1, Integer::sum);
      openRequests++;
      maxOpenRequests = Math.max(maxOpenRequests, openRequests);
      Answer own = execute(call, requestId).with(Answer.REQUEST_ID, requestId);
      Answer answer = fault == Fault.CROSSED ? crossedResponse() : own;
      server.after(serviceTime, () -> finish(call, answer, plan));
    }

    private void finish(Call call, Answer answer, Optional<FaultPlan> plan) {
      openRequests--;
      call.send(answer, plan);
    }

    private Answer overloaded() {
      return Answer.of(503, Json.object().put("error", "overloaded")).notRun();
    }

    @Override
    public void injectFault(Fault fault) {
      if (fault == Fault.RESTART) {
        server.resetConnections();
      }
    }

    @Override
    public void disconnected(Channel channel) {
      // A request that has started completes without its caller.
    }

    @Override
    public void writable(Channel channel) {
      // Responses are small and written in one piece.
    }
  }
}
