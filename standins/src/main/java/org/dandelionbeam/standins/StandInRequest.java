package org.dandelionbeam.standins;

import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Request that a stand-in received.
 *
 * @param method HTTP method
 * @param path path without query
 * @param query parameters of the query
 * @param headers the first value of each header, looked up without regard to case
 * @param body the whole body
 */
public record StandInRequest(
    String method,
    String path,
    Map<String, List<String>> query,
    Map<String, String> headers,
    byte[] body) {

  /**
   * Copies a request out of Netty's buffers.
   *
   * @param message the request as Netty decoded it
   * @return a request that holds no buffer
   */
  static StandInRequest of(FullHttpRequest message) {
    QueryStringDecoder uri = new QueryStringDecoder(message.uri());
    Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
    message.headers().forEach(header -> headers.putIfAbsent(header.getKey(), header.getValue()));
    byte[] body = ByteBufUtil.getBytes(message.content());
    return new StandInRequest(message.method().name(), uri.path(), uri.parameters(), headers, body);
  }

  /**
   * Finds a parameter of the query.
   *
   * @param name its name
   * @return its first value, empty if it is absent
   */
  public Optional<String> parameter(String name) {
    return query.getOrDefault(name, List.of()).stream().findFirst();
  }

  /**
   * Reads a whole number from the query.
   *
   * @param name name of the parameter
   * @param defaultValue value to use if it is absent
   * @return the number
   * @throws NumberFormatException if it is no number
   */
  public long longParameter(String name, long defaultValue) {
    return parameter(name).map(Long::parseLong).orElse(defaultValue);
  }

  /**
   * Returns the body as text.
   *
   * @return the body decoded as UTF-8
   */
  public String text() {
    return new String(body, StandardCharsets.UTF_8);
  }
}
