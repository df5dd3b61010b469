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
import org.dandelionbeam.routing.TeamName;

/** Translates the headers of callers and upstreams. */
public interface HttpDialect {

  /**
   * Reads what a caller says of its request.
   *
   * @param head head of the request
   * @return what it says
   * @throws FleetException if a header that must be there is missing or can't be read
   */
  RequestMetadata readRequest(HttpRequest head);

  /**
   * Makes the headers of a request to an upstream.
   *
   * @param head head of the caller's request
   * @param metadata what the router adds
   * @return headers without those of the caller's connection
   */
  HttpHeaders upstreamHeaders(HttpRequest head, UpstreamRequestMetadata metadata);

  /**
   * Reads what an upstream says of its answer.
   *
   * @param head head of the answer
   * @return what it says
   */
  ResponseMetadata readResponse(HttpResponse head);

  /**
   * Makes the request by which an upstream lists the prompt parts that it holds.
   *
   * @param upstream address of the upstream
   * @return the request
   */
  FullHttpRequest cachedPartsRequest(Endpoint upstream);

  /**
   * Reads the answer to that request.
   *
   * @param body body of the answer
   * @return the parts
   * @throws IOException if the body can't be read
   */
  List<PromptProfile.Part> readCachedParts(byte[] body) throws IOException;

  /**
   * Makes the headers of an answer to a caller.
   *
   * @param head head of the upstream's answer
   * @return headers without those of the upstream's connection
   */
  HttpHeaders callerHeaders(HttpResponse head);

  /**
   * Makes the head that a router's own answers bear, so that the caller knows its request.
   *
   * @param requestId id that the caller gave to its request
   * @return the headers
   */
  HttpHeaders routerResponseHeaders(String requestId);

  /**
   * What a caller says of its request.
   *
   * @param requestId id of the caller's attempt
   * @param timeout how long the caller waits, empty if it doesn't say
   * @param key the caller's key, empty if it sends none
   * @param prompt size of a model request
   */
  record RequestMetadata(
      String requestId, Optional<Duration> timeout, Optional<String> key, PromptProfile prompt) {}

  /**
   * What the router adds to a request.
   *
   * @param expected upstream that the request is for
   * @param remaining time that is left
   * @param team team that holds the caller's key, empty if the caller needs none
   * @param lastEventId last event of the stream that the caller got from another upstream
   */
  record UpstreamRequestMetadata(
      InstanceId expected,
      Duration remaining,
      Optional<TeamName> team,
      Optional<String> lastEventId) {}

  /**
   * What an upstream says of its answer.
   *
   * @param requestId id of the request that is answered, empty if it doesn't say
   * @param signed whether the answer bears the upstream's signature
   * @param notRun whether the upstream says that it did not run the request
   * @param idleTimeout how long the upstream keeps an idle connection, empty if it doesn't say
   * @param coldRemaining how much longer the upstream is cold, empty if it doesn't say
   */
  record ResponseMetadata(
      Optional<String> requestId,
      boolean signed,
      boolean notRun,
      Optional<Duration> idleTimeout,
      Optional<Duration> coldRemaining) {}
}
