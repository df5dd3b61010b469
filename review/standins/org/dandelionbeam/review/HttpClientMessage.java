package org.dandelionbeam.review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * An HTTP/1.1 message as it was read from a connection.
 *
 * @param startLine first line
 * @param headers values by name in lower case
 * @param body the body, or what has arrived of it; of a long one only the beginning
 * @param complete whether the framing says that the body is whole
 */
record HttpClientMessage(
    String startLine, Map<String, String> headers, byte[] body, boolean complete) {
  private static final int MAX_HEAD_BYTES = 32 << 10;
  private static final int MAX_KEPT_BODY_BYTES = 64 << 10;
  private static final int READ_BYTES = 8 << 10;
  private static final int HEX = 16;

  /** Writes a head without a body. */
  static void writeHead(Socket socket, String startLine, List<String> headers) throws IOException {
    write(socket, startLine, headers, new byte[0]);
  }

  /** Writes a message; its headers must state its framing. */
  static void write(Socket socket, String startLine, List<String> headers, byte[] body)
      throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    String head = startLine + "\r\n" + String.join("\r\n", headers) + "\r\n\r\n";
    bytes.writeBytes(head.getBytes(StandardCharsets.ISO_8859_1));
    bytes.writeBytes(body);
    socket.getOutputStream().write(bytes.toByteArray());
    socket.getOutputStream().flush();
  }

  /**
   * Reads a message.
   *
   * @param hasNoBody whether its framing does not count, as in the answer to a HEAD request
   * @throws IOException if the connection ends before its head is complete
   */
  static HttpClientMessage read(Socket socket, boolean hasNoBody) throws IOException {
    InputStream in = socket.getInputStream();
    String head = readHead(in);
    String[] lines = head.split("\r\n");
    Map<String, String> headers = new TreeMap<>();
    for (int i = 1; i < lines.length; i++) {
      int colon = lines[i].indexOf(':');
      if (colon < 0) {
        throw new IOException("not a header: " + lines[i]);
      }
      headers.put(
          lines[i].substring(0, colon).trim().toLowerCase(Locale.ROOT),
          lines[i].substring(colon + 1).trim());
    }
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    boolean complete = hasNoBody || readBody(in, lines[0], headers, body);
    return new HttpClientMessage(lines[0], headers, body.toByteArray(), complete);
  }

  private static String readHead(InputStream in) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.length() < MAX_HEAD_BYTES) {
      int next = in.read();
      if (next < 0) {
        throw new EOFException("connection ended within a head: '" + head + "'");
      }
      head.append((char) next);
      if (next == '\n'
          && head.length() >= 4
          && head.substring(head.length() - 4).equals("\r\n\r\n")) {
        return head.toString();
      }
    }
    throw new IOException("head is too long");
  }

  private static boolean readBody(
      InputStream in, String startLine, Map<String, String> headers, ByteArrayOutputStream body) {
    try {
      if (headers.getOrDefault("transfer-encoding", "").equalsIgnoreCase("chunked")) {
        readChunks(in, body);
      } else if (headers.containsKey("content-length")) {
        int expected = Integer.parseInt(headers.get("content-length"));
        readExactly(in, expected, body);
      } else if (startLine.startsWith("HTTP/")) {
        readToEnd(in, body);
      }
      return true;
    } catch (IOException e) {
      // The connection ended or was silent for too long: the body stays incomplete.
      return false;
    }
  }

  /** Reads a number of bytes and keeps them as long as the body is not too long. */
  private static void readExactly(InputStream in, int length, ByteArrayOutputStream body)
      throws IOException {
    byte[] bytes = new byte[READ_BYTES];
    int left = length;
    while (left > 0) {
      int count = in.read(bytes, 0, Math.min(left, bytes.length));
      if (count < 0) {
        throw new EOFException("connection ended within a body");
      }
      left -= count;
      if (body.size() < MAX_KEPT_BODY_BYTES) {
        body.write(bytes, 0, count);
      }
    }
  }

  private static void readToEnd(InputStream in, ByteArrayOutputStream body) throws IOException {
    byte[] bytes = new byte[READ_BYTES];
    for (int count = in.read(bytes); count >= 0; count = in.read(bytes)) {
      if (body.size() < MAX_KEPT_BODY_BYTES) {
        body.write(bytes, 0, count);
      }
    }
  }

  private static void readChunks(InputStream in, ByteArrayOutputStream body) throws IOException {
    int size = Integer.parseInt(readLine(in).trim(), HEX);
    while (size > 0) {
      readExactly(in, size, body);
      readLine(in);
      size = Integer.parseInt(readLine(in).trim(), HEX);
    }
    readLine(in);
  }

  private static String readLine(InputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    for (int next = in.read(); next != '\n'; next = in.read()) {
      if (next < 0) {
        throw new EOFException("connection ended within a line");
      }
      line.append((char) next);
    }
    return line.toString();
  }

  String header(String name) {
    return headers.getOrDefault(name, "");
  }

  /** Returns the status of a response. */
  int status() {
    return Integer.parseInt(startLine.split(" ")[1]);
  }

  /** Returns the method of a request. */
  String method() {
    return startLine.split(" ")[0];
  }

  /** Returns the path and query of a request. */
  String target() {
    return startLine.split(" ")[1];
  }
}
