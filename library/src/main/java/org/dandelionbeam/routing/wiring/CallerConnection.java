package org.dandelionbeam.routing.wiring;

import static java.util.Objects.requireNonNull;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;
import org.dandelionbeam.base.ErrorCode;
import org.dandelionbeam.routing.CallerLimits;

/** A connection of a caller, whose requests are served one after another. */
final class CallerConnection extends ChannelInboundHandlerAdapter {
  /**
   * Parts of pipelined requests that are queued behind the current response before reading stops.
   */
  private static final int MAX_PENDING_PARTS = 32;

  private final RouterContext router;
  private final Deque<HttpObject> pending = new ArrayDeque<>();
  private ChannelHandlerContext ctx;
  private HttpRequest head;
  private ByteBuf body;
  private RequestTask currentRequest;
  private boolean isHeadRequest;
  private boolean keepAlive = true;
  private boolean closing;
  private long lastActiveNanos = System.nanoTime();
  private long lastReceivedNanos;
  private boolean receivingHead;
  private int reservedBytes;

  CallerConnection(RouterContext router) {
    this.router = requireNonNull(router, "router");
  }

  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    ctx = context;
    router.addConnection(this);
  }

  /** Records that bytes have arrived, before the request headers are complete. */
  void bytesArrived() {
    if (isIdle()) {
      receivingHead = true;
      lastReceivedNanos = System.nanoTime();
    }
  }

  /** Closes the connection if its caller sends too slowly or is idle for too long. */
  void checkIdle() {
    CallerLimits limits = router.limits();
    long now = System.nanoTime();
    if (closing || currentRequest != null) {
      return;
    }
    boolean receiving = receivingHead || head != null;
    if (receiving && now - lastReceivedNanos > limits.headerTimeout().toNanos()) {
      refuse(HttpResponseStatus.REQUEST_TIMEOUT, ErrorCode.REQUEST_TIMEOUT);
    } else if (!receiving && now - lastActiveNanos > limits.idleTimeout().toNanos()) {
      close();
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    HttpObject part = (HttpObject) message;
    if (closing) {
      ReferenceCountUtil.release(part);
    } else if (currentRequest != null || !pending.isEmpty()) {
      pending.addLast(part);
      if (pending.size() > MAX_PENDING_PARTS) {
        ctx.channel().config().setAutoRead(false);
      }
    } else {
      handle(part);
    }
  }

  private void handle(HttpObject part) {
    try {
      if (part.decoderResult().isFailure()) {
        refuseMalformed(part.decoderResult().cause());
        return;
      }
      if (part instanceof HttpRequest request) {
        receivedHead(request);
      }
      if (part instanceof HttpContent content && head != null && !closing) {
        receivedContent(content);
      }
    } finally {
      ReferenceCountUtil.release(part);
    }
  }

  private void receivedHead(HttpRequest request) {
    receivingHead = false;
    lastReceivedNanos = System.nanoTime();
    isHeadRequest = request.method().equals(HttpMethod.HEAD);
    if (!hasUnambiguousFraming(request)) {
      refuse(HttpResponseStatus.BAD_REQUEST, ErrorCode.MALFORMED_REQUEST);
      return;
    }
    if (HttpUtil.getContentLength(request, 0L) > router.limits().maxBodyBytes()) {
      refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, ErrorCode.BODY_TOO_LARGE);
      return;
    }
    head = request;
    body = ctx.alloc().heapBuffer();
    if (HttpUtil.is100ContinueExpected(request)) {
      ctx.writeAndFlush(
          new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
    }
  }

  private static boolean hasUnambiguousFraming(HttpRequest request) {
    boolean hasTransferEncoding = request.headers().contains(HttpHeaderNames.TRANSFER_ENCODING);
    boolean chunked =
        request.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING).size() == 1
            && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(
                request.headers().get(HttpHeaderNames.TRANSFER_ENCODING));
    return request.headers().getAll(HttpHeaderNames.HOST).size() == 1
        && (!hasTransferEncoding
            || (chunked && request.protocolVersion().equals(HttpVersion.HTTP_1_1)));
  }

  private void receivedContent(HttpContent content) {
    if (body.readableBytes() + content.content().readableBytes() > router.limits().maxBodyBytes()) {
      refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, ErrorCode.BODY_TOO_LARGE);
      return;
    }
    int bytes = content.content().readableBytes();
    if (!router.memory().tryReserveRequest(bytes)) {
      refuse(HttpResponseStatus.SERVICE_UNAVAILABLE, ErrorCode.QUEUE_FULL);
      return;
    }
    reservedBytes += bytes;
    body.writeBytes(content.content());
    lastReceivedNanos = System.nanoTime();
    if (content instanceof LastHttpContent) {
      HttpRequest request = head;
      ByteBuf completeBody = body;
      head = null;
      body = null;
      keepAlive = HttpUtil.isKeepAlive(request);
      RequestTask task = new RequestTask(router, this, request, completeBody);
      currentRequest = task;
      // Runs after this read loop, which notices if the caller has already closed the connection.
      router.loop().execute(() -> start(task));
    }
  }

  private void start(RequestTask request) {
    try {
      request.start();
    } catch (RuntimeException e) {
      router.log().internalError(e);
      request.failInternally();
    }
  }

  private void refuseMalformed(Throwable cause) {
    if (cause instanceof TooLongHttpHeaderException) {
      refuse(HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, ErrorCode.HEADERS_TOO_LARGE);
    } else if (cause instanceof TooLongHttpLineException) {
      refuse(HttpResponseStatus.REQUEST_URI_TOO_LONG, ErrorCode.URI_TOO_LONG);
    } else {
      refuse(HttpResponseStatus.BAD_REQUEST, ErrorCode.MALFORMED_REQUEST);
    }
  }

  /**
   * Responds to an invalid request and closes the connection, as the start of the next request is
   * unknown.
   */
  private void refuse(HttpResponseStatus status, ErrorCode code) {
    router.log().logBadInput(String.valueOf(ctx.channel().remoteAddress()), status.code(), code);
    FullHttpResponse response = Replies.error(status, code);
    response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    closing = true;
    ctx.writeAndFlush(framed(response)).addListener(ChannelFutureListener.CLOSE);
  }

  /** Sends a complete response. */
  void sendResponse(FullHttpResponse response) {
    setConnectionHeader(response);
    ctx.writeAndFlush(framed(response));
    finishRequest();
  }

  /** Takes the body off a response to HEAD, which states only the length that it would have. */
  private FullHttpResponse framed(FullHttpResponse response) {
    if (!isHeadRequest || !response.content().isReadable()) {
      return response;
    }
    FullHttpResponse withoutBody = response.replace(Unpooled.EMPTY_BUFFER);
    response.release();
    return withoutBody;
  }

  /** Sends the status line and headers of a response whose body follows in parts. */
  void sendHead(HttpResponse response) {
    setConnectionHeader(response);
    ctx.write(response);
  }

  void sendPart(ByteBuf part) {
    ctx.write(new DefaultHttpContent(part.retainedDuplicate()));
  }

  void flush() {
    ctx.flush();
  }

  void sendEnd() {
    ctx.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
    finishRequest();
  }

  private void setConnectionHeader(HttpResponse response) {
    if (!keepAlive || !router.mayKeepConnection()) {
      keepAlive = false;
      response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
  }

  private void releaseReservedBody() {
    router.memory().release(reservedBytes);
    reservedBytes = 0;
  }

  private void finishRequest() {
    releaseReservedBody();
    currentRequest = null;
    lastActiveNanos = System.nanoTime();
    if (!keepAlive) {
      closing = true;
      ctx.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
      return;
    }
    while (currentRequest == null && !closing && !pending.isEmpty()) {
      handle(pending.pollFirst());
    }
    if (pending.size() <= MAX_PENDING_PARTS) {
      ctx.channel().config().setAutoRead(true);
    }
  }

  /**
   * Sends what there is of the response and closes the connection, which tells the caller that it
   * is incomplete.
   */
  void abort() {
    currentRequest = null;
    ctx.flush();
    close();
  }

  /**
   * Closes the connection if it carries no request, and otherwise after the current response. A
   * request that arrives during the close has not been read.
   */
  void closeIfIdle() {
    keepAlive = false;
    if (isIdle()) {
      close();
    }
  }

  /** Refuses the current request if it waits and the router stops before it could be served. */
  void refuseIfTooLate() {
    if (currentRequest != null) {
      currentRequest.refuseIfTooLate();
    }
  }

  /** Ends the current request with a response, also one that has arrived in part. */
  void interrupt() {
    keepAlive = false;
    if (currentRequest != null) {
      currentRequest.interrupt();
    } else if (!isIdle() && !closing) {
      refuse(HttpResponseStatus.SERVICE_UNAVAILABLE, ErrorCode.STOPPING);
    }
  }

  /** Tells whether the connection carries no request. */
  boolean isIdle() {
    return currentRequest == null && head == null && !receivingHead;
  }

  /** Returns when the last response ended, or the connection was opened. */
  long lastActiveNanos() {
    return lastActiveNanos;
  }

  private void close() {
    closing = true;
    ctx.close();
  }

  /** Tells whether the caller has not closed the connection, as far as that was read. */
  boolean isOpen() {
    return ctx.channel().isActive();
  }

  boolean isWritable() {
    return ctx.channel().isWritable();
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext context) {
    if (currentRequest != null) {
      currentRequest.setCallerWritable(context.channel().isWritable());
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    context.close();
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    closing = true;
    router.connections().remove(this);
    releaseReservedBody();
    if (currentRequest != null) {
      currentRequest.callerDisconnected();
      currentRequest = null;
    }
    if (body != null) {
      body.release();
      body = null;
    }
    pending.forEach(ReferenceCountUtil::release);
    pending.clear();
  }
}
