package org.dandelionbeam.routing.wiring;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.util.List;
import java.util.Optional;
import org.dandelionbeam.routing.Endpoint;
import org.dandelionbeam.routing.PromptProfile;

/** Dialect of upstreams whose responses carry at most the id of the request. */
final class PlainDialect implements HttpDialect {
  private static final String REQUEST_ID = "X-Request-Id";

  @Override
  public ResponseMetadata readResponse(HttpResponse head) {
    return new ResponseMetadata(
        Optional.ofNullable(head.headers().get(REQUEST_ID)),
        true,
        false,
        Optional.empty(),
        Optional.empty(),
        Optional.empty(),
        Optional.empty(),
        false);
  }

  @Override
  public RequestMetadata readRequest(HttpRequest head) {
    throw new UnsupportedOperationException("requests of callers");
  }

  @Override
  public HttpHeaders upstreamHeaders(HttpRequest head, UpstreamRequestMetadata metadata) {
    throw new UnsupportedOperationException("requests of callers");
  }

  @Override
  public FullHttpRequest cachedPartsRequest(Endpoint upstream) {
    throw new UnsupportedOperationException("cached parts");
  }

  @Override
  public List<PromptProfile.Part> readCachedParts(byte[] body) {
    throw new UnsupportedOperationException("cached parts");
  }

  @Override
  public HttpHeaders callerHeaders(HttpResponse head) {
    throw new UnsupportedOperationException("responses to callers");
  }

  @Override
  public HttpHeaders routerResponseHeaders(String requestId) {
    throw new UnsupportedOperationException("responses to callers");
  }
}
