package org.dandelionbeam.daemon.session;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** One connection through a {@link FaultInjectingProxy}, with one request at a time. */
final class ProxiedConnection {
  private static final long SLOW_MILLIS = 30;
  private static final long LATE_MILLIS = 900;
  private static final int MID_BODY_PART = 3;
  private static final int HELD_BACK_BYTES = 2;
  private static final String CROSSED_BODY = "{\"id\":\"crossed\",\"reference\":\"crossed\"}";
  private static final byte[] CROSSED_RESPONSE =
      ("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nX-Request-Id: crossed\r\n"
              + "X-Exchange-Id: crossed\r\nContent-Length: "
              + CROSSED_BODY.length()
              + "\r\n\r\n"
              + CROSSED_BODY)
          .getBytes(StandardCharsets.US_ASCII);

  private final FaultInjectingProxy proxy;
  private final Channel router;
  private Channel target;
  private boolean closed;
  private boolean busy;
  private boolean streamed;
  private boolean discardingResponse;
  private int responseParts;

  ProxiedConnection(FaultInjectingProxy proxy, Channel router) {
    this.proxy = proxy;
    this.router = router;
  }

  ChannelHandler routerHandler() {
    return new RelayHandler(this::onRequest) {
      @Override
      public void channelActive(ChannelHandlerContext context) {
        connect();
      }
    };
  }

  boolean isBusy() {
    return busy && !closed;
  }

  void reset() {
    closed = true;
    proxy.remove(this);
    resetChannel(router);
    if (target != null) {
      resetChannel(target);
    }
  }

  private void connect() {
    proxy.reached(Step.CONNECT);
    if (closed) {
      return;
    }
    proxy
        .targetBootstrap()
        .handler(new RelayHandler(this::onResponse))
        .connect()
        .addListener(
            connected -> {
              target = ((io.netty.channel.ChannelFuture) connected).channel();
              if (closed || !connected.isSuccess()) {
                reset();
              } else {
                router.config().setAutoRead(true);
              }
            });
  }

  private void onRequest(byte[] bytes) {
    if (proxy.mode() == FaultInjectingProxy.Mode.RESET_NEXT) {
      proxy.mode(FaultInjectingProxy.Mode.NORMAL);
      reset();
      return;
    }
    busy = true;
    responseParts = 0;
    streamed = false;
    discardingResponse = false;
    int head = endOfHead(bytes);
    proxy.reached(Step.SEND_HEAD);
    deliver(target, Arrays.copyOf(bytes, head), false);
    proxy.reached(Step.SEND_BODY);
    deliver(target, Arrays.copyOfRange(bytes, head, bytes.length), false);
  }

  private void onResponse(byte[] bytes) {
    if (discardingResponse) {
      return;
    }
    if (responseParts == 0) {
      streamed = text(bytes).contains("text/event-stream");
      proxy.reached(Step.FIRST_BYTE);
      if (proxy.mode() == FaultInjectingProxy.Mode.CROSSED_NEXT) {
        discardingResponse = true;
        proxy.mode(FaultInjectingProxy.Mode.NORMAL);
        deliver(router, CROSSED_RESPONSE, true);
        return;
      }
    }
    responseParts++;
    boolean last = !streamed || text(bytes).endsWith("\r\n0\r\n\r\n");
    if (last) {
      deliverLastPart(bytes);
      return;
    }
    if (responseParts == MID_BODY_PART) {
      proxy.reached(Step.MID_BODY);
    }
    deliver(router, bytes, true);
  }

  private void deliverLastPart(byte[] bytes) {
    int half = bytes.length / 2;
    int end = bytes.length - HELD_BACK_BYTES;
    deliver(router, Arrays.copyOf(bytes, half), true);
    proxy.reached(Step.MID_BODY);
    deliver(router, Arrays.copyOfRange(bytes, half, end), true);
    proxy.reached(Step.END);
    deliver(router, Arrays.copyOfRange(bytes, end, bytes.length), true);
    if (!closed && proxy.mode() == FaultInjectingProxy.Mode.CROSSED_NEXT) {
      proxy.mode(FaultInjectingProxy.Mode.NORMAL);
      deliver(router, CROSSED_RESPONSE, true);
    }
    if (proxy.mode() != FaultInjectingProxy.Mode.SILENT) {
      busy = false;
    }
  }

  private void deliver(Channel to, byte[] bytes, boolean isResponse) {
    if (closed || bytes.length == 0 || proxy.mode() == FaultInjectingProxy.Mode.SILENT) {
      return;
    }
    ByteBuf buffer = Unpooled.wrappedBuffer(bytes);
    long delay =
        switch (proxy.mode()) {
          case SLOW -> SLOW_MILLIS;
          case LATE -> isResponse ? LATE_MILLIS : 0;
          default -> 0;
        };
    if (delay == 0) {
      to.writeAndFlush(buffer);
    } else {
      to.eventLoop().schedule(() -> to.writeAndFlush(buffer), delay, TimeUnit.MILLISECONDS);
    }
  }

  private void onClosed() {
    if (!closed) {
      closed = true;
      proxy.remove(this);
      router.close();
      if (target != null) {
        target.close();
      }
    }
  }

  private static int endOfHead(byte[] bytes) {
    int end = text(bytes).indexOf("\r\n\r\n");
    return end < 0 ? bytes.length : end + "\r\n\r\n".length();
  }

  private static String text(byte[] bytes) {
    return new String(bytes, StandardCharsets.ISO_8859_1);
  }

  private static void resetChannel(Channel channel) {
    if (channel.isOpen()) {
      channel.config().setOption(ChannelOption.SO_LINGER, 0);
      channel.close();
    }
  }

  private class RelayHandler extends SimpleChannelInboundHandler<ByteBuf> {
    private final Consumer<byte[]> receiver;

    RelayHandler(Consumer<byte[]> receiver) {
      this.receiver = receiver;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf bytes) {
      if (!closed) {
        receiver.accept(ByteBufUtil.getBytes(bytes));
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      onClosed();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }
}
