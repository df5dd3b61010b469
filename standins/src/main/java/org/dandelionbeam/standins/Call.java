package org.dandelionbeam.standins;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * One request on a connection of a stand-in, with methods that send, truncate or reset the
 * response.
 */
final class Call {
  private static final Duration RESET_DELAY = Duration.ofMillis(20);
  private static final byte[] NOT_HTTP =
      "!! not http !!\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

  private final Channel channel;
  private final HttpMethod method;
  private final QueryStringDecoder uri;
  private final HttpHeaders headers;
  private final byte[] body;

  private Call(Channel channel, FullHttpRequest request) {
    this.channel = channel;
    method = request.method();
    uri = new QueryStringDecoder(request.uri());
    headers = request.headers().copy();
    body = ByteBufUtil.getBytes(request.content());
  }

  static Call of(Channel channel, FullHttpRequest request) {
    return new Call(channel, request);
  }

  static void reset(Channel channel) {
    channel.config().setOption(ChannelOption.SO_LINGER, 0);
    channel.close();
  }

  Channel channel() {
    return channel;
  }

  HttpMethod method() {
    return method;
  }

  String path() {
    return uri.path();
  }

  JsonNode json() {
    return Json.parse(body);
  }

  String header(String name, String defaultValue) {
    return headers.get(name, defaultValue);
  }

  long queryNumber(String name) {
    List<String> values = uri.parameters().getOrDefault(name, List.of("0"));
    return Long.parseLong(values.get(0));
  }

  /** Sends an answer as changed by the fault of the plan, if there is one. */
  void send(Answer answer, Optional<FaultPlan> plan) {
    if (plan.isEmpty()) {
      send(answer);
      return;
    }
    if (plan.get().fault() == Fault.SILENT) {
      return;
    }
    switch (plan.get().fault()) {
      case RESET_BEFORE_RUN, RESET_AFTER_RUN -> reset();
      case RESET_MID_BODY -> sendHalfAndReset(answer);
      case MALFORMED -> sendMalformed();
      case SLOW, LATE -> after(plan.get().delay(), () -> send(answer));
      default -> send(answer);
    }
  }

  void send(Answer answer) {
    DefaultFullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(answer.status()),
            Unpooled.wrappedBuffer(answer.body()));
    setHeaders(response.headers(), answer);
    channel.writeAndFlush(response);
  }

  void openStream(Map<String, String> responseHeaders) {
    DefaultHttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
    responseHeaders.forEach(head.headers()::set);
    head.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/event-stream");
    head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, "chunked");
    channel.write(head);
  }

  void writeEvent(long offset, JsonNode data) {
    String text = "id: " + offset + "\ndata: " + data + "\n\n";
    writeChunk(text);
  }

  void endStream() {
    writeChunk("data: [DONE]\n\n");
    channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
  }

  void reset() {
    reset(channel);
  }

  void resetAfterFlush() {
    channel.flush();
    after(RESET_DELAY, this::reset);
  }

  void sendMalformed() {
    channel
        .pipeline()
        .context(HttpServerCodec.class)
        .writeAndFlush(Unpooled.wrappedBuffer(NOT_HTTP));
  }

  void after(Duration delay, Runnable task) {
    channel.eventLoop().schedule(task, delay.toNanos(), TimeUnit.NANOSECONDS);
  }

  private void sendHalfAndReset(Answer answer) {
    DefaultHttpResponse head =
        new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(answer.status()));
    setHeaders(head.headers(), answer);
    channel.write(head);
    byte[] half = Arrays.copyOf(answer.body(), answer.body().length / 2);
    channel.write(new DefaultHttpContent(Unpooled.wrappedBuffer(half)));
    resetAfterFlush();
  }

  private void writeChunk(String text) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    channel.write(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)));
  }

  private static void setHeaders(HttpHeaders headers, Answer answer) {
    answer.headers().forEach(headers::set);
    headers.set(HttpHeaderNames.CONTENT_TYPE, "application/json");
    headers.setInt(HttpHeaderNames.CONTENT_LENGTH, answer.body().length);
  }
}
