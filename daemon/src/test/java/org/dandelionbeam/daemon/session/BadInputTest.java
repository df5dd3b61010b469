package org.dandelionbeam.daemon.session;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.dandelionbeam.base.ErrorCode;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Sends malformed, oversized, unauthorized and truncated requests to a router. Guards against a bad
 * request that gets no problem response, leaves a request or slot open, or makes the connection
 * unusable.
 */
public class BadInputTest {
  private static final String CHAT = "/v1/chat/completions";
  private static final String HEAD =
      "POST /v1/chat/completions HTTP/1.1\r\nHost: r\r\nAuthorization: Bearer team-key\r\n";

  private static final Object[][] BAD_INPUTS = {
    {"no HTTP", "hello\r\n\r\n", ErrorCode.MALFORMED_REQUEST},
    {"bad version", "GET / HTTP/one\r\n\r\n", ErrorCode.MALFORMED_REQUEST},
    {"binary", "\u0000\u0001\u0002\r\n\r\n", ErrorCode.MALFORMED_REQUEST},
    {"bad header", "GET /v1/addresses HTTP/1.1\r\nno colon\r\n\r\n", ErrorCode.MALFORMED_REQUEST},
    {"bad length", HEAD + "Content-Length: x\r\n\r\n{}", ErrorCode.MALFORMED_REQUEST},
    {"negative length", HEAD + "Content-Length: -1\r\n\r\n{}", ErrorCode.MALFORMED_REQUEST},
    {
      "two lengths",
      HEAD + "Content-Length: 2\r\nContent-Length: 3\r\n\r\n{}",
      ErrorCode.MALFORMED_REQUEST
    },
    {
      "bad chunk",
      HEAD + "Transfer-Encoding: chunked\r\n\r\nzz\r\n{}\r\n",
      ErrorCode.MALFORMED_REQUEST
    },
    {"bad escape in path", Requests.get("/v1/services/%zz", "a"), ErrorCode.NOT_FOUND},
    {
      "bad escape in query",
      Requests.get("/v1/addresses?domain=%zz", "a"),
      ErrorCode.MALFORMED_REQUEST
    },
    {"long line", Requests.get("/" + "u".repeat(2_000), "a"), ErrorCode.URI_TOO_LONG},
    {
      "long header",
      Requests.get("/v1/addresses", "a", "X-Long: " + "h".repeat(2_000)),
      ErrorCode.HEADERS_TOO_LARGE
    },
    {"large body", Requests.post(CHAT, "a", "x".repeat(5_000)), ErrorCode.BODY_TOO_LARGE},
    {
      "large body announced",
      HEAD + "Content-Length: 99999999999\r\nExpect: 100-continue\r\n\r\n",
      ErrorCode.BODY_TOO_LARGE
    },
    {
      "large chunked body",
      HEAD + "Transfer-Encoding: chunked\r\n\r\n1000\r\n" + "x".repeat(4_096) + "\r\n0\r\n\r\n",
      ErrorCode.BODY_TOO_LARGE
    },
    {
      "unknown expectation",
      HEAD + "Content-Length: 2\r\nExpect: more\r\n\r\n",
      ErrorCode.MALFORMED_REQUEST
    },
    {"empty body", Requests.post(CHAT, "a", ""), ErrorCode.INVALID_BODY},
    {"no JSON", Requests.post(CHAT, "a", "{"), ErrorCode.MALFORMED_REQUEST},
    {
      "doubled field",
      Requests.post(CHAT, "a", "{\"model\":\"a\",\"model\":\"b\"}"),
      ErrorCode.MALFORMED_REQUEST
    },
    {"deep JSON", Requests.post(CHAT, "a", "[".repeat(1_900)), ErrorCode.MALFORMED_REQUEST},
    {"JSON list", Requests.post(CHAT, "a", "[]"), ErrorCode.INVALID_BODY},
    {"no model", Requests.post(CHAT, "a", "{}"), ErrorCode.INVALID_BODY},
    {"model is a number", Requests.post(CHAT, "a", "{\"model\":1}"), ErrorCode.INVALID_BODY},
    {"no messages", Requests.post(CHAT, "a", "{\"model\":\"camp\"}"), ErrorCode.INVALID_BODY},
    {"message is a text", completion("[\"hi\"]", ""), ErrorCode.INVALID_BODY},
    {"no content", completion("[{\"role\":\"user\"}]", ""), ErrorCode.INVALID_BODY},
    {"stream is a text", completion(null, ",\"stream\":\"yes\""), ErrorCode.INVALID_BODY},
    {"max_tokens is 0", completion(null, ",\"max_tokens\":0"), ErrorCode.INVALID_BODY},
    {"max_tokens is huge", completion(null, ",\"max_tokens\":1e30"), ErrorCode.INVALID_BODY},
    {"unknown model", completion(null, "").replace("camp", "cold"), ErrorCode.NOT_FOUND},
    {"unknown path", Requests.get("/v2", "a"), ErrorCode.NOT_FOUND},
    {"no service", Requests.get("/v1/services/", "a"), ErrorCode.NOT_FOUND},
    {"model service by path", Requests.get("/v1/services/assistant/x", "a"), ErrorCode.NOT_FOUND},
    {"undeclared path", Requests.get("/v1/services/ledger/x", "a"), ErrorCode.NOT_FOUND},
    {"other method", Requests.get(CHAT, "a"), ErrorCode.METHOD_NOT_ALLOWED},
    {"unknown key", authorized("Bearer other"), ErrorCode.UNAUTHORIZED},
    {"other scheme", authorized("Basic dGVhbS1rZXk="), ErrorCode.UNAUTHORIZED},
    {"empty key", authorized("Bearer "), ErrorCode.UNAUTHORIZED},
    {"operator key", authorized("Bearer operator-key"), ErrorCode.UNAUTHORIZED},
    {"team key for operators", Requests.get("/admin/v1/status", "a"), ErrorCode.UNAUTHORIZED},
    {
      "timeout is a word",
      Requests.check("a", "b", "X-Request-Timeout-Ms: soon"),
      ErrorCode.INVALID_BODY
    },
    {"timeout is 0", Requests.check("a", "b", "X-Request-Timeout-Ms: 0"), ErrorCode.INVALID_BODY},
    {
      "long key",
      Requests.booking("a", "b", "Idempotency-Key: " + "k".repeat(300)),
      ErrorCode.INVALID_BODY
    },
    {
      "forged event id",
      Requests.chat("a", "b", true, "Last-Event-ID: 00.1.a-1.3"),
      ErrorCode.NOT_FOUND
    },
    {"event id is a word", Requests.chat("a", "b", true, "Last-Event-ID: x"), ErrorCode.NOT_FOUND},
    {"request stops", HEAD, ErrorCode.REQUEST_TIMEOUT},
    {"body stops", HEAD + "Content-Length: 50\r\n\r\n{", ErrorCode.REQUEST_TIMEOUT},
  };

  private RouterFixture router;

  @BeforeClass
  public void start() {
    router = RouterFixture.start();
  }

  @AfterClass
  public void stop() {
    router.close();
  }

  @DataProvider
  Object[][] badInputs() {
    return BAD_INPUTS;
  }

  @Test(dataProvider = "badInputs")
  public void badInputGetsACodedProblem(String name, String input, ErrorCode code)
      throws IOException {
    try (RawCaller caller = RawCaller.connect(router.port())) {
      caller.send(input);
      assertProblem(caller.read(), code);
    }
    assertNoOpenRequestsOrSlots();
  }

  @Test
  public void bodyThatIsNotUtf8GetsACodedProblem() throws IOException {
    byte[] body = "{\"model\":\"\u00e9\"}".getBytes(StandardCharsets.ISO_8859_1);
    try (RawCaller caller = RawCaller.connect(router.port())) {
      caller.send(HEAD + "Content-Length: " + body.length + "\r\n\r\n");
      caller.send(body);
      assertProblem(caller.read(), ErrorCode.MALFORMED_REQUEST);
    }
  }

  @DataProvider
  Object[][] truncatedRequests() {
    return new Object[][] {{"GET /v1/addr"}, {HEAD}, {HEAD + "Content-Length: 50\r\n\r\n{\"mod"}};
  }

  @Test(dataProvider = "truncatedRequests")
  public void truncatedRequestGetsACodedProblem(String input) throws IOException {
    try (RawCaller caller = RawCaller.connect(router.port())) {
      caller.send(input);
      caller.shutdownOutput();
      assertProblem(caller.read(), ErrorCode.MALFORMED_REQUEST);
      assertTrue(caller.isClosedByRouter());
    }
    assertNoOpenRequestsOrSlots();
  }

  @Test
  public void requestsAboveTheLimitOfAConnectionAreAnswered() throws IOException {
    try (RawCaller caller = RawCaller.connect(router.port())) {
      caller.send(Requests.check("many", "a").repeat(6));
      Reply last = caller.read();
      while (last.status() == 200) {
        last = caller.read();
      }
      assertProblem(last, ErrorCode.TOO_MANY_OPEN);
    }
  }

  @Test
  public void connectionIsUsableAfterARefusal() throws IOException {
    try (RawCaller caller = RawCaller.connect(router.port())) {
      caller.send(Requests.post(CHAT, "bad", "{}"));
      assertProblem(caller.read(), ErrorCode.INVALID_BODY);
      caller.send(Requests.check("good", "a"));
      assertEquals(caller.read().status(), 200);
    }
  }

  private void assertNoOpenRequestsOrSlots() {
    assertEquals(router.openRequests(), 0);
    assertEquals(router.dispatch().openSlots() + router.dispatch().waiting(), 0);
  }

  private static void assertProblem(Reply reply, ErrorCode code) {
    assertTrue(reply.complete(), "expected a complete response but got: " + reply);
    assertEquals(reply.problem().path("code").asText(), code.name(), reply.toString());
    assertEquals(reply.status(), code.httpStatus());
    assertEquals(reply.problem().path("verdict").asText(), "NOT_RUN");
    assertFalse(reply.body().contains("Exception") || reply.body().contains("\tat "), reply.body());
  }

  private static String authorized(String header) {
    return Requests.check("a", "b", "Authorization: " + header);
  }

  private static String completion(String messages, String extraFields) {
    String messagesJson = messages == null ? "[{\"role\":\"user\",\"content\":\"hi\"}]" : messages;
    return Requests.post(
        CHAT, "a", "{\"model\":\"camp\",\"messages\":" + messagesJson + extraFields + "}");
  }
}
