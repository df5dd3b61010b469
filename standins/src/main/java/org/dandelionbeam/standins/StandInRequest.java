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
 * HTTP request that a stand-in received.
 *
 * @param method HTTP method
 * @param path path without query
 * @param query decoded query parameters by name
 * @param headers the first value of each header; names are case-insensitive
 * @param body the complete body
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
   * Returns the first value of a query parameter.
   *
   * @param name name of the parameter
   * @return its first value, empty if it is absent
   */
  public Optional<String> parameter(String name) {
    return query.getOrDefault(name, List.of()).stream().findFirst();
  }

  /**
   * Returns a query parameter as an integer.
   *
   * @param name name of the parameter
   * @param defaultValue value to use if it is absent
   * @return the number
   * @throws NumberFormatException if the value is not an integer
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
