package org.dandelionbeam.daemon.session;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Caller that writes raw bytes and reads responses on one connection. */
final class RawCaller implements AutoCloseable {
  private static final int READ_TIMEOUT_MILLIS = 40_000;
  private static final int BUFFER_BYTES = 8_192;

  private final Socket socket;
  private final EmbeddedChannel decoder = new EmbeddedChannel(new HttpResponseDecoder());

  private RawCaller(Socket socket) {
    this.socket = socket;
  }

  static RawCaller connect(int port) throws IOException {
    Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
    socket.setTcpNoDelay(true);
    socket.setSoTimeout(READ_TIMEOUT_MILLIS);
    return new RawCaller(socket);
  }

  void send(String request) throws IOException {
    send(request.getBytes(StandardCharsets.UTF_8));
  }

  void send(byte[] bytes) throws IOException {
    socket.getOutputStream().write(bytes);
    socket.getOutputStream().flush();
  }

  void shutdownOutput() throws IOException {
    socket.shutdownOutput();
  }

  /**
   * Reads one response to its end, or the part received before the connection closed or timed out.
   */
  Reply read() {
    StringBuilder head = new StringBuilder();
    StringBuilder body = new StringBuilder();
    byte[] buffer = new byte[BUFFER_BYTES];
    try {
      while (true) {
        Object part = decoder.readInbound();
        if (part == null) {
          int read = socket.getInputStream().read(buffer);
          if (read < 0) {
            return Reply.truncated(head.toString(), body.toString());
          }
          decoder.writeInbound(Unpooled.copiedBuffer(buffer, 0, read));
          continue;
        }
        if (part instanceof HttpResponse response) {
          head.append(Reply.headOf(response));
        }
        if (part instanceof HttpContent content) {
          body.append(content.content().toString(StandardCharsets.UTF_8));
          content.release();
        }
        if (part instanceof LastHttpContent) {
          return Reply.complete(head.toString(), body.toString());
        }
      }
    } catch (IOException e) {
      return Reply.truncated(head.toString(), body.toString());
    }
  }

  /** Tells whether the router closed the connection after its last response. */
  boolean isClosedByRouter() throws IOException {
    return socket.getInputStream().read() < 0;
  }

  @Override
  public void close() throws IOException {
    decoder.finishAndReleaseAll();
    socket.close();
  }
}
