package org.dandelionbeam.upstream.wiring;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.HttpObject;

/** Channel handler that passes what an upstream connection receives to its current exchange. */
final class ExchangeHandler extends SimpleChannelInboundHandler<HttpObject> {
  private HttpExchange exchange;

  void attach(HttpExchange attached) {
    exchange = attached;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) {
    if (exchange == null) {
      ctx.close();
    } else {
      exchange.received(part);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    if (exchange != null) {
      exchange.connectionLost();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    ctx.close();
  }
}
