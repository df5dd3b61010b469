package org.dandelionbeam.store.wiring;

import static java.util.Objects.requireNonNull;

import java.net.ConnectException;
import java.net.URI;
import java.net.URLEncoder;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.dandelionbeam.base.ErrorCode;
import org.dandelionbeam.base.FleetException;
import org.dandelionbeam.base.Verdict;
import org.dandelionbeam.store.PlatformStore;

/**
 * HTTP client of the platform's key-value store.
 *
 * <p>A call that could not connect, or that the store refused, fails with verdict {@code NOT_RUN};
 * a call that broke or timed out after it may have been sent fails with {@code MAY_HAVE_RUN}.
 */
public final class HttpPlatformStore implements PlatformStore {
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
  private static final int MIN_SERVER_ERROR_STATUS = 500;
  private static final int STATUS_SERVICE_UNAVAILABLE = 503;
  private static final int STATUS_OK = 200;
  private static final int STATUS_TOO_LARGE = 413;

  private final HttpClient client;
  private final String baseUri;
  private final Duration callTimeout;

  private HttpPlatformStore(String baseUri, Duration callTimeout) {
    this.baseUri = requireNonNull(baseUri, "baseUri");
    this.callTimeout = requireNonNull(callTimeout, "callTimeout");
    client =
        HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(CONNECT_TIMEOUT)
            .build();
  }

  /**
   * Returns a client; it connects on the first call.
   *
   * @param baseUri base URI of the store, without a trailing slash
   * @param callTimeout longest time that a call may take; for a watch, it is added to the timeout
   *     of the watch
   * @return the client
   */
  public static HttpPlatformStore of(String baseUri, Duration callTimeout) {
    return new HttpPlatformStore(baseUri, callTimeout);
  }

  @Override
  public CompletableFuture<Versioned> read(String key) {
    HttpRequest request = request(keyPath(key), callTimeout).GET().build();
    return send(request).thenApply(HttpPlatformStore::versionedOf);
  }

  @Override
  public CompletableFuture<SwapResult> compareAndSwap(
      String key, long expectedRevision, byte[] value) {
    String path = keyPath(key) + "?expected=" + expectedRevision;
    HttpRequest request = request(path, callTimeout).PUT(BodyPublishers.ofByteArray(value)).build();
    return send(request).thenApply(response -> swapResultOf(response, value));
  }

  @Override
  public CompletableFuture<Versioned> watch(String key, long afterRevision, Duration timeout) {
    String query = "?after=" + afterRevision + "&patienceMillis=" + timeout.toMillis();
    HttpRequest request = request(keyPath(key) + query, timeout.plus(callTimeout)).GET().build();
    return send(request).thenApply(HttpPlatformStore::versionedOf);
  }

  @Override
  public CompletableFuture<Lease> lease(String name, String holder, Duration length) {
    String query = "?holder=" + encode(holder) + "&millis=" + length.toMillis();
    HttpRequest request =
        request("/v1/leases/" + encode(name) + query, callTimeout)
            .POST(BodyPublishers.noBody())
            .build();
    return send(request).thenApply(HttpPlatformStore::leaseOf);
  }

  private HttpRequest.Builder request(String path, Duration timeout) {
    return HttpRequest.newBuilder(URI.create(baseUri + path)).timeout(timeout);
  }

  private CompletableFuture<HttpResponse<byte[]>> send(HttpRequest request) {
    return client
        .sendAsync(request, BodyHandlers.ofByteArray())
        .handle((response, failure) -> checkedResponse(request, response, failure));
  }

  private static HttpResponse<byte[]> checkedResponse(
      HttpRequest request, HttpResponse<byte[]> response, Throwable failure) {
    if (failure != null) {
      Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
      throw unavailable(verdictOf(cause), request, cause.toString());
    }
    if (response.statusCode() == STATUS_TOO_LARGE) {
      String detail =
          "the platform's key-value store rejected a value above its size limit: "
              + request.uri().getPath();
      throw new FleetException(ErrorCode.BODY_TOO_LARGE, detail);
    }
    if (response.statusCode() != STATUS_OK) {
      int status = response.statusCode();
      boolean refused = status < MIN_SERVER_ERROR_STATUS || status == STATUS_SERVICE_UNAVAILABLE;
      Verdict verdict = refused ? Verdict.NOT_RUN : Verdict.MAY_HAVE_RUN;
      throw unavailable(verdict, request, "status " + status);
    }
    return response;
  }

  private static Verdict verdictOf(Throwable cause) {
    boolean neverConnected =
        cause instanceof ConnectException || cause instanceof HttpConnectTimeoutException;
    return neverConnected ? Verdict.NOT_RUN : Verdict.MAY_HAVE_RUN;
  }

  private static FleetException unavailable(Verdict verdict, HttpRequest request, String cause) {
    String detail = request.method() + " " + request.uri().getPath() + ": " + cause;
    return new FleetException(ErrorCode.STORE_UNAVAILABLE, verdict, detail);
  }

  private static Versioned versionedOf(HttpResponse<byte[]> response) {
    return new Versioned(longHeader(response, "X-Revision"), response.body());
  }

  private static SwapResult swapResultOf(HttpResponse<byte[]> response, byte[] value) {
    boolean swapped = Boolean.parseBoolean(header(response, "X-Swapped"));
    byte[] storedValue = swapped ? value : response.body();
    return new SwapResult(swapped, new Versioned(longHeader(response, "X-Revision"), storedValue));
  }

  private static Lease leaseOf(HttpResponse<byte[]> response) {
    Duration length = Duration.ofMillis(longHeader(response, "X-Length-Millis"));
    return new Lease(header(response, "X-Holder"), longHeader(response, "X-Fencing"), length);
  }

  private static long longHeader(HttpResponse<byte[]> response, String name) {
    try {
      return Long.parseLong(header(response, name));
    } catch (NumberFormatException e) {
      throw malformedHeader(name);
    }
  }

  private static String header(HttpResponse<byte[]> response, String name) {
    return response.headers().firstValue(name).orElseThrow(() -> malformedHeader(name));
  }

  private static FleetException malformedHeader(String name) {
    String detail = "the response of the platform's key-value store has no valid header " + name;
    return new FleetException(ErrorCode.STORE_UNAVAILABLE, Verdict.MAY_HAVE_RUN, detail);
  }

  private static String keyPath(String key) {
    return "/v1/keys/" + encode(key);
  }

  private static String encode(String text) {
    return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("+", "%20");
  }
}
