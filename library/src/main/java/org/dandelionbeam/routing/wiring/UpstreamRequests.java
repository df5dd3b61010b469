package org.dandelionbeam.routing.wiring;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;

/** Creates the requests that are sent to upstreams from those of callers. */
final class UpstreamRequests {
  private UpstreamRequests() {}

  /**
   * Creates a request.
   *
   * @param dialect translates the headers
   * @param head start line and headers of the caller's request
   * @param body body of the caller's request, of which the request is given a reference
   * @param added metadata that the router adds
   */
  static FullHttpRequest of(
      HttpDialect dialect,
      HttpRequest head,
      ByteBuf body,
      HttpDialect.UpstreamRequestMetadata added) {
    FullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1, head.method(), head.uri(), body.retainedDuplicate());
    request.headers().set(dialect.upstreamHeaders(head, added));
    boolean hasBody =
        head.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
            || HttpUtil.isTransferEncodingChunked(head);
    if (hasBody) {
      HttpUtil.setContentLength(request, body.readableBytes());
    }
    return request;
  }
}
