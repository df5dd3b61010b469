package org.dandelionbeam.standins;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;

/** HTTP client of the tests, with helpers for chat requests and event streams. */
final class Http {
  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private final String base;

  Http(int port) {
    base = "http://127.0.0.1:" + port;
  }

  HttpResponse<String> call(String method, String path, String body, String... headers)
      throws IOException, InterruptedException {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create(base + path))
            .method(method, HttpRequest.BodyPublishers.ofString(body));
    if (headers.length > 0) {
      request.headers(headers);
    }
    return client.send(request.build(), HttpResponse.BodyHandlers.ofString());
  }

  static String chat(String prompt, boolean stream, int maxTokens) {
    return Json.object()
        .put("model", "camp")
        .put("stream", stream)
        .put("max_tokens", maxTokens)
        .set("messages", Json.array().add(Json.object().put("role", "user").put("content", prompt)))
        .toString();
  }

  static List<String> offsets(String events) {
    return events.lines().filter(line -> line.startsWith("id: ")).map(l -> l.substring(4)).toList();
  }

  static String text(String events) {
    StringBuilder text = new StringBuilder();
    events
        .lines()
        .filter(line -> line.startsWith("data: {"))
        .map(
            line -> Json.parse(line.substring(6).getBytes(java.nio.charset.StandardCharsets.UTF_8)))
        .forEach(data -> text.append(data.at("/choices/0/delta/content").asText()));
    return text.toString();
  }
}
