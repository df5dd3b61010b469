package org.dandelionbeam.daemon.load;

import io.netty.buffer.ByteBuf;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/** Parses a stream of server-sent events. */
final class EventStreamParser {
  private final ByteArrayOutputStream line = new ByteArrayOutputStream();
  private final Consumer<Event> consumer;
  private String id = "";
  private String type = "";
  private String data = "";

  EventStreamParser(Consumer<Event> consumer) {
    this.consumer = consumer;
  }

  void read(ByteBuf bytes) {
    while (bytes.isReadable()) {
      byte next = bytes.readByte();
      if (next == '\n') {
        endLine(line.toString(StandardCharsets.UTF_8));
        line.reset();
      } else if (next != '\r') {
        line.write(next);
      }
    }
  }

  private void endLine(String text) {
    if (text.isEmpty()) {
      if (!data.isEmpty()) {
        consumer.accept(new Event(id, type, data));
      }
      id = "";
      type = "";
      data = "";
    } else if (text.startsWith("id:")) {
      id = text.substring(3).trim();
    } else if (text.startsWith("event:")) {
      type = text.substring(6).trim();
    } else if (text.startsWith("data:")) {
      data = text.substring(5).trim();
    }
  }

  /**
   * One server-sent event.
   *
   * @param id its id, empty if it has none
   * @param type its type, empty if it has none
   * @param data its last data line
   */
  record Event(String id, String type, String data) {}
}
