package org.dandelionbeam.standins;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.LinkedHashMap;
import java.util.Map;

/** Complete HTTP response with a JSON body. */
record Answer(int status, Map<String, String> headers, byte[] body) {
  static final String REQUEST_ID = "X-Request-Id";
  static final String EXCHANGE_ID = "X-Exchange-Id";
  static final String NOT_RUN = "X-Not-Run";

  static Answer of(int status, JsonNode body) {
    return new Answer(status, Map.of(), Json.bytes(body));
  }

  Answer notRun() {
    return with(NOT_RUN, "1");
  }

  Answer with(String name, String value) {
    Map<String, String> more = new LinkedHashMap<>(headers);
    more.put(name, value);
    return new Answer(status, more, body);
  }
}
