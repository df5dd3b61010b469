package org.dandelionbeam.membership.wiring;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.dandelionbeam.base.ErrorCode;
import org.dandelionbeam.base.FleetException;
import org.dandelionbeam.membership.VmList;
import org.dandelionbeam.membership.VmState;

/**
 * Reads the platform's list of VMs over HTTP. The response is a JSON array of objects with the
 * fields {@code host} and {@code state}.
 */
public final class HttpVmList implements VmList {
  private static final Duration TIMEOUT = Duration.ofSeconds(2);
  private static final int OK = 200;
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final HttpClient client = HttpClient.newBuilder().connectTimeout(TIMEOUT).build();
  private final URI uri;

  private HttpVmList(URI uri) {
    this.uri = uri;
  }

  /**
   * Creates a reader of the list.
   *
   * @param baseUri base URI of the platform's service, without a trailing slash
   * @return the reader
   */
  public static HttpVmList of(String baseUri) {
    return new HttpVmList(URI.create(requireNonNull(baseUri, "baseUri") + "/v1/vms"));
  }

  @Override
  public CompletableFuture<Map<String, VmState>> read() {
    HttpRequest request = HttpRequest.newBuilder(uri).timeout(TIMEOUT).GET().build();
    return client.sendAsync(request, BodyHandlers.ofByteArray()).thenApply(HttpVmList::parse);
  }

  private static Map<String, VmState> parse(HttpResponse<byte[]> response) {
    if (response.statusCode() != OK) {
      throw new FleetException(
          ErrorCode.STORE_UNAVAILABLE,
          "expected status 200 from the platform's list of VMs, got " + response.statusCode());
    }
    try {
      Map<String, VmState> states = new HashMap<>();
      for (JsonNode vm : MAPPER.readTree(response.body())) {
        states.put(vm.path("host").asText(), VmState.valueOf(vm.path("state").asText()));
      }
      return states;
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
