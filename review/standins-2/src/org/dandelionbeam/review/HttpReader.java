package org.dandelionbeam.review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** Reads HTTP/1.1 messages from a connection. */
final class HttpReader {
  private static final int HEX = 16;

  private final InputStream in;

  HttpReader(InputStream in) {
    this.in = in;
  }

  /**
   * Head of a message.
   *
   * @param firstLine request line or status line
   * @param headers headers, with lower-case names
   */
  record Head(String firstLine, Map<String, String> headers) {
    String header(String name) {
      return headers.getOrDefault(name, "");
    }

    int status() {
      return Integer.parseInt(firstLine.split(" ")[1]);
    }

    int contentLength() {
      return header("content-length").isEmpty() ? 0 : Integer.parseInt(header("content-length"));
    }

    boolean isChunked() {
      return header("transfer-encoding").equalsIgnoreCase("chunked");
    }
  }

  /** Receives the parts of a body. */
  interface PartReceiver {
    void accept(byte[] part) throws IOException;
  }

  /** Reads the head of the next message. */
  Head head() throws IOException {
    String first = line();
    Map<String, String> headers = new HashMap<>();
    for (String line = line(); !line.isEmpty(); line = line()) {
      int colon = line.indexOf(':');
      headers.put(
          line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
    }
    return new Head(first, headers);
  }

  /** Reads the body of a message to its end. */
  void body(Head head, PartReceiver receiver) throws IOException {
    if (!head.isChunked()) {
      receiver.accept(bytes(head.contentLength()));
      return;
    }
    for (int size = chunkSize(); size > 0; size = chunkSize()) {
      receiver.accept(bytes(size));
      line();
    }
    line();
  }

  private int chunkSize() throws IOException {
    return Integer.parseInt(line().trim(), HEX);
  }

  /** Reads so many bytes. */
  byte[] bytes(int count) throws IOException {
    byte[] bytes = in.readNBytes(count);
    if (bytes.length < count) {
      throw new EOFException("connection closed within a body");
    }
    return bytes;
  }

  private String line() throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int next = in.read(); next != '\n'; next = in.read()) {
      if (next < 0) {
        throw new EOFException("connection closed");
      }
      if (next != '\r') {
        line.write(next);
      }
    }
    return line.toString(StandardCharsets.ISO_8859_1);
  }
}
