package org.dandelionbeam.standins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpMethod;
import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** State and HTTP API of an engine; all state is confined to the event loop of the server. */
final class EngineState implements StandInServer.CallHandler {
  private static final int MAX_KEPT_EXCHANGES = 10_000;
  private static final String EXCHANGES_PATH = "/v1/exchanges/";
  private static final String EVENTS_SUFFIX = "/events";
  private static final EnginePrompt CROSSED_PROMPT =
      new EnginePrompt("crossed", "another prompt", false, 8);

  private final EngineStandIn.Builder settings;
  private final Batch batch;
  private final ColdStart cold;
  private final PrefixCache cache;
  private final EngineOrders orders;
  private final Map<String, EngineExchange> exchanges =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, EngineExchange> eldest) {
          return size() > MAX_KEPT_EXCHANGES && eldest.getValue().isFinished();
        }
      };
  private final Map<String, PendingResponse> pendingResponses = new HashMap<>();
  private final Map<String, Integer> runsByRequest = new HashMap<>();
  private final StandInServer server;
  private int bootCount = 1;
  private int sequence;
  private int cancelled;
  private long completed;
  private boolean stepScheduled;
  private ObjectNode publishedLoadReport;
  private ObjectNode nextLoadReport;

  EngineState(EngineStandIn.Builder settings) {
    this.settings = settings;
    batch = settings.newBatch();
    cold = settings.newColdStart();
    cache = settings.newCache();
    orders = settings.newOrders();
    publishedLoadReport = loadReport();
    nextLoadReport = publishedLoadReport;
    server = StandInServer.start(settings.port(), this);
    server.after(settings.reportLag(), this::publishLoadReport);
  }

  StandInServer server() {
    return server;
  }

  ColdStart cold() {
    return cold;
  }

  EngineOrders orders() {
    return orders;
  }

  int runsOfRequest(String requestId) {
    return runsByRequest.getOrDefault(requestId, 0);
  }

  long requestRuns() {
    return runsByRequest.values().stream().mapToLong(Integer::longValue).sum();
  }

  int inFlight() {
    return batch.runningCount() + batch.queuedCount();
  }

  int cancelled() {
    return cancelled;
  }

  long completed() {
    return completed;
  }

  @Override
  public void handle(Call call) {
    String path = call.path();
    boolean post = call.method().equals(HttpMethod.POST);
    if (post && path.equals("/v1/chat/completions")) {
      handleCompletion(call);
    } else if (post && path.equals("/v1/orders")) {
      JsonNode order = call.json();
      call.send(orders.handle(order, () -> loadModel(order.path("model").asText())));
    } else if (path.equals("/v1/load")) {
      call.send(Answer.of(200, publishedLoadReport));
    } else if (path.equals("/v1/cache-events")) {
      ObjectNode events = cache.eventsAfter(call.queryNumber("after"), System.nanoTime());
      call.send(Answer.of(200, events.put("bootId", bootId())));
    } else if (path.startsWith(EXCHANGES_PATH) && path.endsWith(EVENTS_SUFFIX)) {
      resume(call, path.substring(EXCHANGES_PATH.length(), path.length() - EVENTS_SUFFIX.length()));
    } else if (path.startsWith(EXCHANGES_PATH) && call.method().equals(HttpMethod.DELETE)) {
      cancel(call, path.substring(EXCHANGES_PATH.length()));
    } else {
      call.send(error(404, "no such call").notRun());
    }
  }

  @Override
  public void injectFault(Fault fault) {
    cold.turnCold();
    if (fault == Fault.RESTART) {
      restart();
    }
  }

  @Override
  public void disconnected(Channel channel) {
    for (EngineExchange exchange : List.copyOf(exchanges.values())) {
      if (exchange.isReadBy(channel)) {
        exchange.detach(channel);
        server.after(settings.disconnectedStreamTimeout(), () -> removeIfUnread(exchange));
      }
    }
    pendingResponses.values().stream()
        .filter(pending -> pending.call.channel() == channel)
        .map(pending -> pending.exchange)
        .toList()
        .forEach(this::removeExchange);
  }

  @Override
  public void writable(Channel channel) {
    exchanges.values().stream()
        .filter(exchange -> exchange.isReadBy(channel))
        .findFirst()
        .ifPresent(EngineExchange::writeGenerated);
  }

  private void handleCompletion(Call call) {
    EnginePrompt prompt = EnginePrompt.of(call.json());
    Optional<FaultPlan> plan = server.drawFault();
    Optional<Answer> refusal = refusal(call, prompt, plan);
    if (refusal.isPresent()) {
      call.send(withIds(refusal.get(), call));
      return;
    }
    if (hasFault(plan, Fault.RESET_BEFORE_RUN)) {
      call.reset();
      return;
    }
    if (cold.recordInFlight(inFlight() + 1)) {
      call.send(withIds(error(500, "overloaded while cold"), call));
      restart();
      return;
    }
    startExchange(call, prompt, plan);
  }

  private Optional<Answer> refusal(Call call, EnginePrompt prompt, Optional<FaultPlan> plan) {
    if (!orders.serves(prompt.model())) {
      return Optional.of(error(503, "model is not loaded").notRun());
    }
    if (exchanges.containsKey(call.header(Answer.EXCHANGE_ID, ""))) {
      return Optional.of(error(409, "exchange exists"));
    }
    if (batch.queuedCount() >= settings.maxQueued() || hasFault(plan, Fault.OVERLOADED)) {
      return Optional.of(error(429, "overloaded").notRun());
    }
    return Optional.empty();
  }

  private void startExchange(Call call, EnginePrompt prompt, Optional<FaultPlan> plan) {
    String requestId = call.header(Answer.REQUEST_ID, "");
    String id = call.header(Answer.EXCHANGE_ID, "exchange-" + ++sequence);
    EngineExchange exchange = newExchange(id, requestId, prompt, prompt.stream());
    exchanges.put(id, exchange);
    runsByRequest.merge(requestId, 1, Integer::sum);
    long now = System.nanoTime();
    String[] words = prompt.words();
    Duration prefill = settings.prefillTime(words.length - cache.addPrompt(words, now));
    exchange.prefillUntil(now + prefill.toNanos());
    batch.add(exchange, now);
    if (prompt.stream()) {
      openStream(call, exchange, 0, plan);
    } else {
      pendingResponses.put(id, new PendingResponse(exchange, call, plan));
    }
    scheduleStep();
  }

  private EngineExchange newExchange(
      String id, String requestId, EnginePrompt prompt, boolean streamed) {
    List<String> tokens = AnswerText.tokens(prompt.text(), settings.seed(), prompt.maxTokens());
    return new EngineExchange(id, requestId, prompt, tokens, streamed);
  }

  private void openStream(
      Call call, EngineExchange exchange, int offset, Optional<FaultPlan> plan) {
    Fault fault = plan.map(FaultPlan::fault).orElse(null);
    if (fault == null || fault == Fault.RESET_MID_BODY) {
      if (fault != null) {
        exchange.resetMidBody();
      }
      attachReader(call, exchange, offset);
      return;
    }
    switch (fault) {
      case RESET_BEFORE_RUN, RESET_AFTER_RUN -> call.reset();
      case MALFORMED -> call.sendMalformed();
      case SLOW, LATE -> call.after(plan.get().delay(), () -> attachReader(call, exchange, offset));
      case CROSSED -> attachReader(call, crossedExchange(), 0);
      default -> server.after(settings.disconnectedStreamTimeout(), () -> removeIfUnread(exchange));
    }
  }

  private void attachReader(Call call, EngineExchange exchange, int offset) {
    if (!call.channel().isActive()) {
      server.after(settings.disconnectedStreamTimeout(), () -> removeIfUnread(exchange));
      return;
    }
    call.openStream(
        Map.of(Answer.REQUEST_ID, exchange.requestId(), Answer.EXCHANGE_ID, exchange.id()));
    exchange.attach(call, offset);
    exchange.writeGenerated();
  }

  private EngineExchange crossedExchange() {
    EngineExchange crossed = newExchange("crossed", "crossed", CROSSED_PROMPT, true);
    while (!crossed.isFinished()) {
      crossed.generate();
    }
    return crossed;
  }

  private void resume(Call call, String id) {
    EngineExchange exchange = exchanges.get(id);
    if (exchange == null || !exchange.isStreamed()) {
      call.send(withIds(error(404, "no exchange " + id), call));
      return;
    }
    openStream(call, exchange, (int) call.queryNumber("after"), server.drawFault());
  }

  private void cancel(Call call, String id) {
    EngineExchange exchange = exchanges.get(id);
    if (exchange == null) {
      call.send(withIds(error(404, "no exchange " + id), call));
      return;
    }
    cancelled++;
    exchange.resetReader();
    removeExchange(exchange);
    call.send(withIds(Answer.of(200, Json.object().put("cancelled", id)), call));
  }

  private void removeIfUnread(EngineExchange exchange) {
    if (!exchange.hasReader()) {
      removeExchange(exchange);
    }
  }

  private void removeExchange(EngineExchange exchange) {
    exchange.cancel();
    batch.remove(exchange);
    exchanges.remove(exchange.id(), exchange);
    pendingResponses.remove(exchange.id());
  }

  private void scheduleStep() {
    if (!stepScheduled && batch.runningCount() > 0) {
      stepScheduled = true;
      server.after(batch.untilNextStep(System.nanoTime()), this::step);
    }
  }

  private void step() {
    stepScheduled = false;
    List<EngineExchange> finished = batch.step(System.nanoTime());
    batch.running().forEach(EngineExchange::writeGenerated);
    finished.forEach(this::finish);
    scheduleStep();
  }

  private void finish(EngineExchange exchange) {
    completed++;
    cold.recordCompletion();
    exchange.writeGenerated();
    PendingResponse pending = pendingResponses.remove(exchange.id());
    if (pending != null) {
      exchanges.remove(exchange.id());
      pending.send(hasFault(pending.plan, Fault.CROSSED) ? crossedExchange() : exchange);
    } else {
      server.after(settings.disconnectedStreamTimeout(), () -> removeIfUnread(exchange));
    }
  }

  private void restart() {
    bootCount++;
    cold.turnCold();
    batch.clear();
    cache.clear();
    exchanges.clear();
    pendingResponses.clear();
    server.after(Duration.ZERO, server::resetConnections);
  }

  private void loadModel(String model) {
    Duration wait = settings.weights().fetch(System.nanoTime());
    server.after(
        wait,
        () -> {
          orders.finishLoading(model);
          cold.turnCold();
        });
  }

  private void publishLoadReport() {
    publishedLoadReport = nextLoadReport;
    nextLoadReport = loadReport();
    server.after(settings.reportLag(), this::publishLoadReport);
  }

  private ObjectNode loadReport() {
    ArrayNode models = Json.array();
    orders.models().forEach(models::add);
    ObjectNode report = Json.object();
    report.put("inFlight", batch.runningCount()).put("queued", batch.queuedCount());
    report.put("cold", cold.isCold()).put("bootId", bootId());
    report.set("models", models);
    return report;
  }

  private String bootId() {
    return settings.seed() + "-" + bootCount;
  }

  private static boolean hasFault(Optional<FaultPlan> plan, Fault fault) {
    return plan.isPresent() && plan.get().fault() == fault;
  }

  private static Answer error(int status, String message) {
    return Answer.of(status, Json.object().put("error", message));
  }

  private static Answer withIds(Answer answer, Call call) {
    return answer
        .with(Answer.REQUEST_ID, call.header(Answer.REQUEST_ID, ""))
        .with(Answer.EXCHANGE_ID, call.header(Answer.EXCHANGE_ID, ""));
  }

  /** Caller that waits for the complete response of an unstreamed exchange. */
  private record PendingResponse(EngineExchange exchange, Call call, Optional<FaultPlan> plan) {
    void send(EngineExchange answered) {
      call.send(answered.fullResponse(), plan);
    }
  }
}
