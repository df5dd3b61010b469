package org.dandelionbeam.routing.wiring;

import static java.util.Objects.requireNonNull;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.timeout.IdleStateHandler;
import java.util.function.Function;
import org.dandelionbeam.routing.Endpoint;

/** Serves small pages on a separate port: readiness, router addresses, metrics. */
public final class AuxiliaryHttpServer {
  private static final int MAX_BODY_BYTES = 4_096;
  private static final int IDLE_SECONDS = 20;

  private AuxiliaryHttpServer() {}

  /**
   * A page of the server.
   *
   * @param status HTTP status
   * @param contentType media type of the body
   * @param body text of the body, possibly empty
   */
  public record Page(int status, String contentType, String body) {

    /**
     * Creates a page without a body.
     *
     * @param status HTTP status
     * @return the page
     */
    public static Page of(int status) {
      return new Page(status, "text/plain", "");
    }
  }

  /**
   * Binds the server.
   *
   * @param loop event loop that serves the pages
   * @param endpoint address to listen on
   * @param pages returns the page for a request target, that is, a path with its query
   * @return the listening channel
   */
  public static Channel bind(EventLoop loop, Endpoint endpoint, Function<String, Page> pages) {
    requireNonNull(pages, "pages");
    ChannelInitializer<Channel> pipeline =
        new ChannelInitializer<>() {
          @Override
          protected void initChannel(Channel channel) {
            channel
                .pipeline()
                .addLast(new IdleStateHandler(0, 0, IDLE_SECONDS))
                .addLast(new HttpServerCodec())
                .addLast(new HttpObjectAggregator(MAX_BODY_BYTES))
                .addLast(new Handler(pages));
          }
        };
    return ServerSockets.bootstrap(loop)
        .childHandler(pipeline)
        .bind(endpoint.host(), endpoint.port())
        .syncUninterruptibly()
        .channel();
  }

  /** Responds to the requests of one connection. */
  private static final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {
    private final Function<String, Page> pages;

    Handler(Function<String, Page> pages) {
      this.pages = pages;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
      Page page = request.decoderResult().isFailure() ? Page.of(400) : pages.apply(request.uri());
      FullHttpResponse response =
          Replies.text(HttpResponseStatus.valueOf(page.status()), page.contentType(), page.body());
      if (HttpUtil.isKeepAlive(request)) {
        ctx.writeAndFlush(response);
      } else {
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        ctx.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
      }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
      ctx.close();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }
}
