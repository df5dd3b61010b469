package org.dandelionbeam.entry.wiring;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Map;
import java.util.Set;
import org.dandelionbeam.config.Service;
import org.dandelionbeam.config.Team;
import org.dandelionbeam.config.Upstream;
import org.dandelionbeam.entry.RequestDescriptor;

/**
 * A checked request of a caller, ready to be sent to an upstream any number of times.
 *
 * @param descriptor attributes of the request for its attempts and for dispatch
 * @param team the caller's team
 * @param service the service
 * @param stream whether the caller wants server-sent events
 * @param method HTTP method
 * @param uri path and query at the upstream
 * @param headers headers of the caller
 * @param body body of the request
 * @param idempotencyKey the caller's key, empty for none
 */
record ValidatedRequest(
    RequestDescriptor descriptor,
    Team team,
    Service service,
    boolean stream,
    HttpMethod method,
    String uri,
    HttpHeaders headers,
    byte[] body,
    String idempotencyKey) {

  static final String REQUEST_ID = "x-request-id";
  static final String EXCHANGE_ID = "x-exchange-id";
  private static final Set<String> NOT_FORWARDED =
      Set.of(
          "authorization",
          "connection",
          "content-length",
          "expect",
          "host",
          "keep-alive",
          "last-event-id",
          "proxy-authorization",
          "proxy-connection",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade",
          EXCHANGE_ID,
          REQUEST_ID);

  FullHttpRequest toUpstreamRequest(Upstream upstream, int attempt) {
    FullHttpRequest request =
        new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, uri, Unpooled.wrappedBuffer(body));
    for (Map.Entry<String, String> header : headers) {
      if (!NOT_FORWARDED.contains(header.getKey().toLowerCase(java.util.Locale.ROOT))) {
        request.headers().add(header.getKey(), header.getValue());
      }
    }
    setAddressHeaders(request, upstream, attempt);
    request.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.length);
    return request;
  }

  FullHttpRequest toExchangeRequest(
      HttpMethod exchangeMethod, Upstream upstream, int attempt, String rest) {
    FullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            exchangeMethod,
            "/v1/exchanges/" + exchangeId(attempt) + rest,
            Unpooled.EMPTY_BUFFER);
    setAddressHeaders(request, upstream, attempt);
    return request;
  }

  String exchangeId(int attempt) {
    return descriptor.request().name() + "-" + attempt;
  }

  private void setAddressHeaders(FullHttpRequest request, Upstream upstream, int attempt) {
    request.headers().set(HttpHeaderNames.HOST, upstream.host() + ":" + upstream.port());
    request.headers().set(REQUEST_ID, descriptor.request().name());
    request.headers().set(EXCHANGE_ID, exchangeId(attempt));
  }
}
