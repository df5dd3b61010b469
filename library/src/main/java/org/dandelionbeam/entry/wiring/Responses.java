package org.dandelionbeam.entry.wiring;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.dandelionbeam.base.ErrorCode;
import org.dandelionbeam.base.Verdict;

/** Builds the responses that the router itself generates, as opposed to relayed ones. */
public final class Responses {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final String TYPE_PREFIX = "urn:dandelionbeam:error:";
  private static final int MILLIS_PER_SECOND = 1_000;

  private Responses() {}

  /**
   * Builds an error response in the problem details format of RFC 9457.
   *
   * @param code the error code
   * @param verdict whether the request may have run
   * @param detail cause of the error, as one sentence
   * @param retryAfter value of Retry-After, rounded up to seconds; zero for no header
   * @return a response of type {@code application/problem+json}
   */
  public static FullHttpResponse problem(
      ErrorCode code, Verdict verdict, String detail, Duration retryAfter) {
    ObjectNode body = problemBody(code, verdict, detail);
    FullHttpResponse response = response(code.httpStatus(), "application/problem+json", body);
    if (!retryAfter.isZero()) {
      long seconds =
          Math.max(1, (retryAfter.toMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND);
      response.headers().set(HttpHeaderNames.RETRY_AFTER, seconds);
    }
    return response;
  }

  /**
   * Builds the body of an error response.
   *
   * @param code the error code
   * @param verdict whether the request may have run
   * @param detail cause of the error, as one sentence
   * @return the JSON object
   */
  public static ObjectNode problemBody(ErrorCode code, Verdict verdict, String detail) {
    ObjectNode body = MAPPER.createObjectNode();
    body.put("type", TYPE_PREFIX + code.name().toLowerCase(java.util.Locale.ROOT));
    body.put("title", code.remedy());
    body.put("status", code.httpStatus());
    body.put("code", code.name());
    body.put("verdict", verdict.name());
    body.put("detail", detail);
    return body;
  }

  /**
   * Builds a JSON response.
   *
   * @param status HTTP status
   * @param contentType media type
   * @param value a value that Jackson can write
   * @return the response
   */
  public static FullHttpResponse response(int status, String contentType, Object value) {
    try {
      byte[] json = MAPPER.writeValueAsBytes(value);
      return bytes(status, contentType, Unpooled.wrappedBuffer(json));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("cannot write the response body as JSON", e);
    }
  }

  /**
   * Builds a text response.
   *
   * @param status HTTP status
   * @param contentType media type
   * @param text body of the response
   * @return the response
   */
  public static FullHttpResponse text(int status, String contentType, String text) {
    return bytes(status, contentType, Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
  }

  private static FullHttpResponse bytes(int status, String contentType, ByteBuf body) {
    FullHttpResponse response =
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), body);
    response.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType);
    response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
    return response;
  }
}
