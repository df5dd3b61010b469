package org.dandelionbeam.routing.wiring;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Locale;
import org.dandelionbeam.base.ErrorCode;

/** Creates the responses that a router sends on its own behalf. */
final class Replies {
  private static final double NANOS_PER_SECOND = 1e9;
  private static final String CONTENT_TYPE = "application/problem+json";

  private Replies() {}

  /** Returns an error response with its code and remedy. */
  static FullHttpResponse error(HttpResponseStatus status, ErrorCode code) {
    String body = "{\"code\":\"" + code + "\",\"detail\":\"" + code.remedy() + "\"}";
    return text(status, CONTENT_TYPE, body);
  }

  /** Returns a refusal of a request that has not run, with the time after which it may return. */
  static FullHttpResponse unavailable(ErrorCode code, Duration retryAfter) {
    FullHttpResponse response = error(HttpResponseStatus.SERVICE_UNAVAILABLE, code);
    String seconds = String.format(Locale.ROOT, "%.2f", retryAfter.toNanos() / NANOS_PER_SECOND);
    response.headers().set(HttpHeaderNames.RETRY_AFTER, seconds);
    return response;
  }

  /** Returns a response with a text body. */
  static FullHttpResponse text(HttpResponseStatus status, String contentType, String text) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    FullHttpResponse response =
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(bytes));
    response.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType);
    response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, bytes.length);
    return response;
  }
}
