package org.dandelionbeam.routing.wiring;

import static org.testng.Assert.assertEquals;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.dandelionbeam.base.Verdict;
import org.testng.annotations.Test;

/** When a response of an upstream counts as complete, by the bytes and events of its connection. */
public class ResponseEndTest {
  private static final String REQUEST_ID = "a1";
  private static final String UNFRAMED = "HTTP/1.1 200 OK\r\n\r\nbody";

  /** Notes the outcome of an exchange. */
  private static final class RecordingListener implements UpstreamExchange.Listener {
    private final StringBuilder body = new StringBuilder();
    private String outcome = "open";

    @Override
    public void head(HttpResponse head, HttpDialect.ResponseMetadata metadata) {}

    @Override
    public void content(ByteBuf part) {
      body.append(part.toString(StandardCharsets.US_ASCII));
    }

    @Override
    public void readComplete() {}

    @Override
    public void complete(BodyFraming framing) {
      outcome = "complete";
    }

    @Override
    public void failed(Verdict verdict, String cause) {
      outcome = "failed " + verdict;
    }
  }

  /** Holds what is written, as a socket does whose peer does not read. */
  private static final class UnsentWrites extends ChannelOutboundHandlerAdapter {
    @Override
    public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
      ReferenceCountUtil.release(message);
    }
  }

  private final RecordingListener listener = new RecordingListener();

  private EmbeddedChannel startExchange(ChannelHandler... first) {
    EmbeddedChannel channel = new EmbeddedChannel();
    channel.pipeline().addLast(first).addLast(new UpstreamConnectionPool.Pipeline());
    FullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1, HttpMethod.POST, "/", Unpooled.EMPTY_BUFFER);
    UpstreamExchange exchange =
        new UpstreamExchange(new PlainDialect(), request, REQUEST_ID, listener);
    exchange.connected(channel.pipeline().get(UpstreamConnection.class));
    return channel;
  }

  private static void receive(EmbeddedChannel channel, String bytes) {
    channel.writeInbound(Unpooled.copiedBuffer(bytes, StandardCharsets.US_ASCII));
  }

  // Guards against a response that looks complete as the connection closed on a failed write.
  @Test
  public void unframedResponseIsBrokenIfTheRequestCouldNotBeWritten() {
    EmbeddedChannel channel = startExchange(new UnsentWrites());
    receive(channel, UNFRAMED);

    channel.close();

    assertEquals(listener.outcome, "failed MAY_HAVE_RUN");
  }

  // Guards against a response that looks complete as a reset closed the connection.
  @Test
  public void unframedResponseIsBrokenIfTheConnectionWasReset() {
    EmbeddedChannel channel = startExchange();
    receive(channel, UNFRAMED);

    channel.pipeline().fireExceptionCaught(new IOException("Connection reset"));
    channel.close();

    assertEquals(listener.outcome, "failed MAY_HAVE_RUN");
    assertEquals(listener.body.toString(), "body");
  }
}
