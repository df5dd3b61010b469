package org.dandelionbeam.routing.wiring;

import static org.testng.Assert.assertEquals;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.util.Arrays;
import java.util.stream.Stream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** When a response of an upstream counts as complete, by the bytes and events of its connection. */
public class ResponseEndTest {
  private static final String REQUEST_ID = "a1";
  private static final String OK = "HTTP/1.1 200 OK\r\n";
  private static final String UNFRAMED = OK + "\r\nbody";
  private static final String FAILED = "failed MAY_HAVE_RUN";

  /** Holds what is written, as a socket does whose peer does not read. */
  private static final class UnsentWrites extends ChannelOutboundHandlerAdapter {
    @Override
    public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
      ReferenceCountUtil.release(message);
    }
  }

  /** What happens to the connection after the bytes have arrived. */
  private enum Ending {
    OPEN {
      @Override
      void apply(EmbeddedChannel channel) {}
    },
    CLOSED {
      @Override
      void apply(EmbeddedChannel channel) {
        channel.close();
      }
    },
    RESET {
      @Override
      void apply(EmbeddedChannel channel) {
        channel.pipeline().fireExceptionCaught(new IOException("Connection reset"));
        channel.close();
      }
    };

    abstract void apply(EmbeddedChannel channel);
  }

  // Rows: bytes, what the connection does then, outcome, body, whether the connection stays open.

  private static Object[][] endingsOfKnownLength() {
    String four = OK + "Content-Length: 4\r\n\r\n";
    return new Object[][] {
      {four + "body", Ending.OPEN, "complete", "body", true},
      {four + "body", Ending.CLOSED, "complete", "body", false},
      {four + "bo", Ending.OPEN, "open", "bo", true},
      {four + "bo", Ending.CLOSED, FAILED, "bo", false},
      {four + "bo", Ending.RESET, FAILED, "bo", false},
      {four + "bodyXX", Ending.OPEN, "complete", "body", false},
      {four + "body" + four + "more", Ending.OPEN, "complete", "body", false},
      {OK + "Content-Length: 0\r\n\r\n", Ending.OPEN, "complete", "", true},
      {OK + "Content-Length: -2\r\n\r\nbody", Ending.OPEN, FAILED, "", false},
      {OK + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nbody", Ending.OPEN, FAILED, "", false},
      {
        OK + "Connection: close\r\nContent-Length: 4\r\n\r\nbody",
        Ending.OPEN,
        "complete",
        "body",
        false
      },
    };
  }

  private static Object[][] endingsOfChunks() {
    String chunked = OK + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n";
    return new Object[][] {
      {chunked + "0\r\n\r\n", Ending.OPEN, "complete", "body", true},
      {chunked + "0\r\nTrailer-A: b\r\n\r\n", Ending.OPEN, "complete", "body", true},
      {chunked + "0\r\n", Ending.CLOSED, FAILED, "body", false},
      {chunked, Ending.CLOSED, FAILED, "body", false},
      {chunked + "9\r\nbo", Ending.CLOSED, FAILED, "bodybo", false},
      {chunked + "9\r\nbo", Ending.RESET, FAILED, "bodybo", false},
      {chunked + "zz\r\n", Ending.OPEN, FAILED, "body", false},
    };
  }

  private static Object[][] otherEndings() {
    String four = OK + "Content-Length: 4\r\n\r\n";
    String keepAlive10 = "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 4\r\n\r\n";
    return new Object[][] {
      {OK + "\r\nbody", Ending.OPEN, "open", "body", true},
      {OK + "\r\nbody", Ending.CLOSED, "complete", "body", false},
      {OK + "\r\nbody", Ending.RESET, FAILED, "body", false},
      {"HTTP/1.0 200 OK\r\n\r\nbody", Ending.CLOSED, "complete", "body", false},
      {"HTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\nbody", Ending.OPEN, "complete", "body", false},
      {keepAlive10 + "body", Ending.OPEN, "complete", "body", true},
      {"HTTP/1.1 204 None\r\n\r\n", Ending.OPEN, "complete", "", true},
      {"HTTP/1.1 304 Same\r\nContent-Length: 4\r\n\r\n", Ending.OPEN, "complete", "", true},
      {"HTTP/1.1 100 Go on\r\n\r\n", Ending.OPEN, "open", "", true},
      {"HTTP/1.1 100 Go on\r\n\r\n", Ending.CLOSED, FAILED, "", false},
      {"HTTP/1.1 100 Go on\r\n\r\n" + four + "body", Ending.OPEN, "complete", "body", true},
      {
        OK + "X-Request-Id: a0\r\nContent-Length: 2\r\n\r\nno" + four + "body",
        Ending.OPEN,
        "complete",
        "body",
        true
      },
      {"rubbish\r\n\r\n", Ending.OPEN, FAILED, "", false},
      {"HTTP/1.1 2", Ending.CLOSED, FAILED, "", false},
      {"", Ending.CLOSED, FAILED, "", false},
      {"", Ending.RESET, FAILED, "", false},
    };
  }

  @DataProvider
  public Object[][] endings() {
    return Stream.of(endingsOfKnownLength(), endingsOfChunks(), otherEndings())
        .flatMap(Arrays::stream)
        .toArray(Object[][]::new);
  }

  // Guards against a broken response that looks complete, and against a connection that is used
  // again although bytes of an earlier response may follow.
  @Test(dataProvider = "endings")
  public void responseIsCompleteOnlyIfItsFramingSaysSo(
      String bytes, Ending ending, String outcome, String body, boolean staysOpen) {
    UpstreamChannel channel = new UpstreamChannel();
    UpstreamChannel.Exchange exchange = channel.send(HttpMethod.POST, REQUEST_ID);
    channel.receive(bytes);

    ending.apply(channel.netty());

    assertEquals(exchange.outcome, outcome);
    assertEquals(exchange.body.toString(), body);
    assertEquals(channel.netty().isActive(), staysOpen);
  }

  // Guards against a router that waits for the body of a response that has none.
  @Test
  public void responseToHeadEndsWithItsHeaders() {
    UpstreamChannel channel = new UpstreamChannel();
    UpstreamChannel.Exchange exchange = channel.send(HttpMethod.HEAD, REQUEST_ID);

    channel.receive("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n");

    assertEquals(exchange.outcome, "complete");
    assertEquals(channel.netty().isActive(), true);
  }

  // Guards against a response that looks complete as the connection closed on a failed write.
  @Test
  public void unframedResponseIsBrokenIfTheRequestCouldNotBeWritten() {
    UpstreamChannel channel = new UpstreamChannel(new UnsentWrites());
    UpstreamChannel.Exchange exchange = channel.send(HttpMethod.POST, REQUEST_ID);
    channel.receive(UNFRAMED);

    channel.netty().close();

    assertEquals(exchange.outcome, FAILED);
  }
}
