package org.dandelionbeam.entry.wiring;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.Future;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import org.dandelionbeam.base.ErrorCode;
import org.dandelionbeam.base.Verdict;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Connection of a caller. Pipelined requests are handled one after the other. */
final class CallerConnection extends SimpleChannelInboundHandler<FullHttpRequest>
    implements CallerChannel {
  private static final Logger LOG = LoggerFactory.getLogger(CallerConnection.class);
  private static final Duration SLOW_CALLER_TIMEOUT = Duration.ofSeconds(30);

  private final EntryState state;
  private final RequestTimer timer;
  private final int maxOpen;
  private final Deque<FullHttpRequest> pipelined = new ArrayDeque<>();
  private ChannelHandlerContext context;
  private RequestRelay relay;
  private String callerRequestId;
  private boolean busy;
  private boolean overflowed;
  private String overflowRequestId;
  private boolean keepAlive = true;
  private Future<?> slowCallerTimer;

  CallerConnection(EntryState state, RequestTimer timer, int maxOpen) {
    super(false);
    this.state = state;
    this.timer = timer;
    this.maxOpen = maxOpen;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    context = ctx;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
    timer.requestCompleted();
    if (!busy) {
      handle(request);
    } else if (pipelined.size() < maxOpen && !overflowed) {
      pipelined.add(request);
    } else {
      refuseAfterPipelined(request);
    }
  }

  /**
   * Refuses a request above the limit once the requests before it are answered; later ones are
   * dropped.
   */
  private void refuseAfterPipelined(FullHttpRequest request) {
    if (!overflowed) {
      overflowed = true;
      overflowRequestId = request.headers().get(ValidatedRequest.REQUEST_ID);
    }
    request.release();
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    callerGone();
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    boolean writable = ctx.channel().isWritable();
    if (relay != null) {
      relay.writabilityChanged(writable);
    }
    if (slowCallerTimer != null) {
      slowCallerTimer.cancel(false);
      slowCallerTimer = null;
    }
    if (!writable) {
      slowCallerTimer =
          ctx.executor()
              .schedule(this::abort, SLOW_CALLER_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
    }
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
    if (event == RequestTimer.Expired.PARTIAL_REQUEST && !busy) {
      refuseAndClose(ErrorCode.REQUEST_TIMEOUT, "the request was not whole in time");
    } else if (event == RequestTimer.Expired.IDLE && !busy) {
      ctx.close();
    } else if (event instanceof ChannelInputShutdownEvent) {
      inputEnded();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    LOG.debug("caller connection failed: {}", cause.toString());
    ctx.close();
  }

  @Override
  public void respond(FullHttpResponse response) {
    setConnectionHeaders(response);
    context.writeAndFlush(response);
    responseFinished();
  }

  @Override
  public void writeHead(HttpResponse response) {
    setConnectionHeaders(response);
    context.write(response);
  }

  @Override
  public void writePart(ByteBuf bytes) {
    context.write(new DefaultHttpContent(bytes));
  }

  @Override
  public void flush() {
    context.flush();
  }

  @Override
  public void end() {
    context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
    responseFinished();
  }

  @Override
  public void abort() {
    context.close();
  }

  @Override
  public boolean isWritable() {
    return context.channel().isWritable();
  }

  void attachRelay(RequestRelay newRelay) {
    relay = newRelay;
  }

  void detachRelay() {
    relay = null;
  }

  private void handle(FullHttpRequest request) {
    busy = true;
    keepAlive = HttpUtil.isKeepAlive(request);
    callerRequestId = request.headers().get(ValidatedRequest.REQUEST_ID);
    try {
      new RequestRouter(state, this).handle(request);
    } finally {
      request.release();
    }
  }

  private void setConnectionHeaders(HttpResponse response) {
    if (callerRequestId != null) {
      response.headers().set(ValidatedRequest.REQUEST_ID, callerRequestId);
    }
    if (isStopping()) {
      keepAlive = false;
    }
    if (!keepAlive) {
      response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
  }

  /**
   * Returns whether the router shuts down; it then closes persistent connections after the next
   * response.
   */
  private boolean isStopping() {
    return state
        .context()
        .closedReason()
        .get()
        .filter(c -> c.code() == ErrorCode.STOPPING)
        .isPresent();
  }

  private void responseFinished() {
    busy = false;
    if (!keepAlive) {
      context
          .writeAndFlush(io.netty.buffer.Unpooled.EMPTY_BUFFER)
          .addListener(ChannelFutureListener.CLOSE);
      return;
    }
    FullHttpRequest next = pipelined.poll();
    if (next == null && overflowed) {
      callerRequestId = overflowRequestId;
      refuseAndClose(ErrorCode.TOO_MANY_OPEN, "the connection has too many pipelined requests");
    } else if (next == null) {
      timer.waitForRequest(context);
    } else {
      context.executor().execute(() -> handle(next));
      busy = true;
    }
  }

  /**
   * Handles a half-closed connection: a partly received request gets an error response, while a
   * caller whose request is being handled counts as gone.
   */
  private void inputEnded() {
    if (busy) {
      context.close();
    } else if (timer.isPartial()) {
      refuseAndClose(
          ErrorCode.MALFORMED_REQUEST, "the connection was closed before the request was complete");
    } else {
      context.close();
    }
  }

  private void refuseAndClose(ErrorCode code, String detail) {
    keepAlive = false;
    busy = true;
    state.countRefusal(code.name());
    respond(Responses.problem(code, Verdict.NOT_RUN, detail, Duration.ZERO));
  }

  private void callerGone() {
    pipelined.forEach(FullHttpRequest::release);
    pipelined.clear();
    if (slowCallerTimer != null) {
      slowCallerTimer.cancel(false);
    }
    if (relay != null) {
      RequestRelay gone = relay;
      relay = null;
      if (!state.isStopped()) {
        gone.callerGone();
      }
    }
  }
}
