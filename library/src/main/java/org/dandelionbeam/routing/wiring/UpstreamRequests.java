package org.dandelionbeam.routing.wiring;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import org.dandelionbeam.routing.RequestDigest;
import org.dandelionbeam.routing.TeamName;

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

  /** Returns the digest by which the same request is known at all routers. */
  static RequestDigest digestOf(HttpRequest head, ByteBuf body, TeamName team) {
    String host = head.headers().get(HttpHeaderNames.HOST, "");
    List<String> fields = List.of(head.method().name(), host, head.uri(), team.text());
    return RequestDigest.of(fields, body.nioBuffer());
  }
}
