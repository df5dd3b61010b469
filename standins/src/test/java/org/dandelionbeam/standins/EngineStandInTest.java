package org.dandelionbeam.standins;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the engine stand-in over HTTP: responses, streams, faults, cold start and orders. */
public class EngineStandInTest {
  private static final String CHAT = "/v1/chat/completions";
  private static final String PROMPT = "which hall is open";

  private EngineStandIn engine;
  private Http http;

  @BeforeMethod
  public void start() {
    engine =
        EngineStandIn.builder()
            .tokensPerSecond(20_000)
            .cold(false, 2, 3)
            .weights(WeightStore.of(Duration.ZERO))
            .start();
    http = new Http(engine.port());
  }

  @AfterMethod
  public void stop() {
    engine.close();
  }

  private HttpResponse<String> chat(boolean stream) throws IOException, InterruptedException {
    return http.call(
        "POST", CHAT, Http.chat(PROMPT, stream, 40), "X-Request-Id", "r1", "X-Exchange-Id", "e1");
  }

  @Test
  public void unstreamedResponseAnswersItsPromptAndEchoesBothIds() throws Exception {
    HttpResponse<String> response = chat(false);
    String content =
        Json.parse(response.body().getBytes()).at("/choices/0/message/content").asText();
    assertTrue(AnswerText.isWhole(PROMPT, content), response.body());
    assertEquals(response.headers().firstValue("X-Request-Id").orElse(""), "r1");
    assertEquals(response.headers().firstValue("X-Exchange-Id").orElse(""), "e1");
    assertEquals(engine.runsOfRequest("r1"), 1);
  }

  @Test
  public void streamHasEachOffsetOnceAndEndsWithUsage() throws Exception {
    String events = chat(true).body();
    assertTrue(AnswerText.isWhole(PROMPT, Http.text(events)), events);
    assertEquals(Http.offsets(events), numbers(1, AnswerText.tokens(PROMPT, 1, 40).size()));
    assertTrue(events.contains("\"finish_reason\":\"stop\"}],\"usage\""), events);
    assertTrue(events.endsWith("data: [DONE]\n\n"), events);
  }

  @Test
  public void resumedStreamContinuesAfterTheOffset() throws Exception {
    engine.arm(FaultPlan.once(Fault.RESET_MID_BODY));
    assertThrows(IOException.class, () -> chat(true));
    String rest = http.call("GET", "/v1/exchanges/e1/events?after=5", "").body();
    assertEquals(Http.offsets(rest), numbers(6, AnswerText.tokens(PROMPT, 1, 40).size()));
    assertEquals(http.call("GET", "/v1/exchanges/e9/events?after=5", "").statusCode(), 404);
    assertEquals(engine.runsOfRequest("r1"), 1);
  }

  @DataProvider
  Object[][] faultsAndRuns() {
    return new Object[][] {
      {Fault.RESET_BEFORE_RUN, 0},
      {Fault.RESET_AFTER_RUN, 1},
      {Fault.RESET_MID_BODY, 1},
      {Fault.MALFORMED, 1},
    };
  }

  @Test(dataProvider = "faultsAndRuns")
  public void faultBreaksOneResponseAndRunsAreStillCounted(Fault fault, int runs) throws Exception {
    for (boolean stream : new boolean[] {false, true}) {
      String id = fault + "-" + stream;
      engine.arm(FaultPlan.once(fault));
      assertThrows(
          IOException.class,
          () ->
              http.call(
                  "POST",
                  CHAT,
                  Http.chat(PROMPT, stream, 40),
                  "X-Request-Id",
                  id,
                  "X-Exchange-Id",
                  id));
      assertEquals(engine.runsOfRequest(id), runs);
    }
    assertEquals(chat(false).statusCode(), 200);
  }

  @Test
  public void crossedResponseCarriesTheIdsOfAnotherRequest() throws Exception {
    for (boolean stream : new boolean[] {false, true}) {
      engine.arm(FaultPlan.once(Fault.CROSSED));
      HttpResponse<String> response =
          http.call("POST", CHAT, Http.chat(PROMPT, stream, 40), "X-Request-Id", "r" + stream);
      assertEquals(response.headers().firstValue("X-Request-Id").orElse(""), "crossed");
      assertEquals(engine.runsOfRequest("r" + stream), 1);
    }
  }

  @Test
  public void overloadIsRefusedWithProofThatItDidNotRun() throws Exception {
    engine.arm(FaultPlan.once(Fault.OVERLOADED));
    HttpResponse<String> response = chat(false);
    assertEquals(response.statusCode(), 429);
    assertEquals(response.headers().firstValue("X-Not-Run").orElse(""), "1");
    assertEquals(engine.runsOfRequest("r1"), 0);
  }

  @Test
  public void refusedConnectLastsUntilTheFaultIsCleared() throws Exception {
    engine.arm(FaultPlan.always(Fault.REFUSE_CONNECT));
    assertThrows(IOException.class, () -> chat(false));
    engine.clearFaults();
    assertEquals(chat(false).statusCode(), 200);
  }

  @Test
  public void coldEngineRestartsAboveItsLimitAndWarmsUpByCompletions() throws Exception {
    http.call("POST", "/faults", "{\"fault\":\"cold\"}");
    assertTrue(engine.isCold());
    List<CompletableFuture<Integer>> statuses = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      statuses.add(CompletableFuture.supplyAsync(this::slowChat));
    }
    statuses.forEach(CompletableFuture::join);
    assertEquals(engine.coldOverloads(), 1);
    assertEquals(engine.maxInFlightWhileCold(), 3);
    for (int i = 0; i < 3; i++) {
      http.call("POST", CHAT, Http.chat(PROMPT, false, 4));
    }
    assertTrue(!engine.isCold());
  }

  private int slowChat() {
    try {
      return http.call("POST", CHAT, Http.chat(PROMPT, false, 40_000)).statusCode();
    } catch (IOException | InterruptedException e) {
      return 0;
    }
  }

  @Test
  public void cancelEndsTheExchange() throws Exception {
    CompletableFuture<Void> broken =
        CompletableFuture.runAsync(
            () ->
                assertThrows(
                    IOException.class,
                    () ->
                        http.call(
                            "POST",
                            CHAT,
                            Http.chat(PROMPT, true, 1_000_000),
                            "X-Request-Id",
                            "r2",
                            "X-Exchange-Id",
                            "e2")));
    while (engine.runsOfRequest("r2") == 0) {
      Thread.onSpinWait();
    }
    assertEquals(http.call("DELETE", "/v1/exchanges/e2", "").statusCode(), 200);
    broken.join();
    assertEquals(engine.inFlight(), 0);
    assertEquals(engine.cancelled(), 1);
  }

  @DataProvider
  Object[][] fencingChecks() {
    return new Object[][] {{true, 409, Set.of("camp")}, {false, 202, Set.of()}};
  }

  @Test(dataProvider = "fencingChecks")
  public void oldFencingNumberIsRefusedOnlyWhenTheEngineChecks(
      boolean checks, int status, Set<String> models) throws Exception {
    try (EngineStandIn other = EngineStandIn.builder().checksFencing(checks).start()) {
      Http orders = new Http(other.port());
      String load = "{\"fencing\":7,\"action\":\"load\",\"model\":\"camp\"}";
      assertEquals(orders.call("POST", "/v1/orders", load).statusCode(), 202);
      String unload = "{\"fencing\":6,\"action\":\"unload\",\"model\":\"camp\"}";
      assertEquals(orders.call("POST", "/v1/orders", unload).statusCode(), status);
      assertEquals(other.models(), models);
    }
  }

  private static List<String> numbers(int from, int to) {
    return java.util.stream.IntStream.rangeClosed(from, to).mapToObj(String::valueOf).toList();
  }
}
