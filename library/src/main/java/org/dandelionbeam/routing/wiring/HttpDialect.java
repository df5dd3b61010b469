package org.dandelionbeam.routing.wiring;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.dandelionbeam.base.FleetException;
import org.dandelionbeam.routing.Endpoint;
import org.dandelionbeam.routing.InstanceId;
import org.dandelionbeam.routing.PromptProfile;
import org.dandelionbeam.routing.RateLimit;
import org.dandelionbeam.routing.TeamName;

/** Translates between the router and the HTTP headers of callers and upstreams. */
public interface HttpDialect {

  /**
   * Reads the metadata of a caller's request.
   *
   * @param head start line and headers of the request
   * @return the metadata
   * @throws FleetException if a required header is missing or a header can't be parsed
   */
  RequestMetadata readRequest(HttpRequest head);

  /**
   * Creates the headers of a request to an upstream.
   *
   * @param head start line and headers of the caller's request
   * @param metadata metadata that the router adds
   * @return headers of the caller without hop-by-hop headers, and those for the metadata
   */
  HttpHeaders upstreamHeaders(HttpRequest head, UpstreamRequestMetadata metadata);

  /**
   * Reads the metadata of an upstream's response.
   *
   * @param head status line and headers of the response
   * @return the metadata
   */
  ResponseMetadata readResponse(HttpResponse head);

  /**
   * Creates the request that asks an upstream for the prompt parts that it has cached.
   *
   * @param upstream address of the upstream
   * @return the request
   */
  FullHttpRequest cachedPartsRequest(Endpoint upstream);

  /**
   * Reads the response to the request of {@link #cachedPartsRequest}.
   *
   * @param body body of the response
   * @return the cached parts
   * @throws IOException if the body can't be parsed
   */
  List<PromptProfile.Part> readCachedParts(byte[] body) throws IOException;

  /**
   * Creates the headers of a response to a caller.
   *
   * @param head status line and headers of the upstream's response
   * @return headers of the upstream without hop-by-hop headers
   */
  HttpHeaders callerHeaders(HttpResponse head);

  /**
   * Creates the headers that the router's own responses carry, so that the caller can match them to
   * its request.
   *
   * @param requestId id that the caller gave to its request
   * @return the headers
   */
  HttpHeaders routerResponseHeaders(String requestId);

  /**
   * Metadata of a caller's request.
   *
   * @param requestId id of the caller's attempt
   * @param timeout how long the caller waits, empty if not given
   * @param key key of the caller, empty if not given
   * @param prompt profile of the prompt, {@link PromptProfile#NONE} for a plain service
   * @param resumption what the caller has of a stream that broke off, empty if it asks for the
   *     whole response
   */
  record RequestMetadata(
      String requestId,
      Optional<Duration> timeout,
      Optional<String> key,
      PromptProfile prompt,
      Optional<Resumption> resumption) {}

  /**
   * Where a caller wants a stream to go on that broke off in an earlier attempt of its own.
   *
   * @param lastEventId last event that it got
   * @param startedBy id of the attempt that brought its first event, empty if not given
   */
  record Resumption(String lastEventId, Optional<String> startedBy) {}

  /**
   * Metadata that the router adds to a request to an upstream.
   *
   * @param expected instance that the request is meant for
   * @param remaining time until the deadline of the request
   * @param team team that owns the caller's key, empty if the caller sent no valid key
   * @param lastEventId last event that the caller got from an earlier upstream, empty if the stream
   *     starts anew
   */
  record UpstreamRequestMetadata(
      InstanceId expected,
      Duration remaining,
      Optional<TeamName> team,
      Optional<String> lastEventId) {}

  /**
   * Metadata of an upstream's response.
   *
   * @param requestId id of the request that the response belongs to, empty if not given
   * @param signed whether the response carries the signature of an upstream
   * @param notRun whether the upstream states that it did not run the request
   * @param idleTimeout how long the upstream keeps an idle connection, empty if not given
   * @param coldRemaining how much longer the upstream is cold, empty if not given
   * @param rest how long the upstream wants no requests from this router, empty if not given
   * @param limit rate limit that the upstream names, empty if what it says can't be used
   * @param leaving whether the upstream states that it shuts down and takes no new requests
   */
  record ResponseMetadata(
      Optional<String> requestId,
      boolean signed,
      boolean notRun,
      Optional<Duration> idleTimeout,
      Optional<Duration> coldRemaining,
      Optional<Duration> rest,
      Optional<RateLimit> limit,
      boolean leaving) {}
}
