package org.dandelionbeam.daemon.cli;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.Optional;
import org.dandelionbeam.base.ErrorCode;

/** HTTP client for the operator calls of a router. */
final class RouterClient {
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(3);
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(15);
  private static final int FIRST_NON_SUCCESS_STATUS = 300;
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final HttpClient client =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(CONNECT_TIMEOUT)
          .build();
  private final URI router;
  private final Optional<String> key;

  private RouterClient(URI router, Optional<String> key) {
    this.router = router;
    this.key = key;
  }

  /** Returns a client of the router at a base URI, with an operator key if the calls need one. */
  static RouterClient of(URI router, Optional<String> key) {
    return new RouterClient(requireNonNull(router, "router"), requireNonNull(key, "key"));
  }

  /** Sends a GET; throws {@link RouterCallException} if the router refuses or can't be reached. */
  JsonNode get(String path) {
    return send(request(path).GET().build());
  }

  /** Sends a POST; throws {@link RouterCallException} if the router refuses or can't be reached. */
  JsonNode post(String path, JsonNode body) {
    return send(
        request(path)
            .header("Content-Type", "application/json")
            .POST(BodyPublishers.ofString(body.toString()))
            .build());
  }

  private HttpRequest.Builder request(String path) {
    HttpRequest.Builder builder =
        HttpRequest.newBuilder(URI.create(router + path)).timeout(CALL_TIMEOUT);
    key.ifPresent(secret -> builder.header("Authorization", "Bearer " + secret));
    return builder;
  }

  private JsonNode send(HttpRequest request) {
    try {
      HttpResponse<String> response = client.send(request, BodyHandlers.ofString());
      JsonNode body = parse(response);
      if (response.statusCode() < FIRST_NON_SUCCESS_STATUS) {
        return body;
      }
      throw body instanceof ObjectNode problem && problem.has("code")
          ? RouterCallException.of(problem)
          : unexpectedResponse(response.statusCode(), null);
    } catch (ConnectException | HttpConnectTimeoutException e) {
      throw unreachable(router + " can't be reached: " + reason(e), e);
    } catch (IOException e) {
      String detail = " gave no complete response; the call may have taken effect: ";
      throw unreachable(router + detail + reason(e), e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw unreachable("the call was interrupted; it may have taken effect", e);
    }
  }

  private JsonNode parse(HttpResponse<String> response) {
    try {
      return MAPPER.readTree(response.body());
    } catch (JsonProcessingException e) {
      throw unexpectedResponse(response.statusCode(), e);
    }
  }

  private RouterCallException unexpectedResponse(int status, Throwable cause) {
    return unreachable(router + " answered with status " + status + " and is not a router", cause);
  }

  private static RouterCallException unreachable(String detail, Throwable cause) {
    return RouterCallException.of(ErrorCode.ROUTER_UNREACHABLE, detail, cause);
  }

  private static String reason(IOException e) {
    return e.getMessage() == null ? e.getClass().getSimpleName() : e.getMessage();
  }
}
