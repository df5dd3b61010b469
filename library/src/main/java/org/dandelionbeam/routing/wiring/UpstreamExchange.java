package org.dandelionbeam.routing.wiring;

import static java.util.Objects.requireNonNull;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.Optional;
import org.dandelionbeam.base.Verdict;

/** A request to an upstream and its response. Confined to one event loop. */
final class UpstreamExchange {
  private static final int FIRST_STATUS = 100;
  private static final int FIRST_FINAL_STATUS = 200;
  private static final int LAST_STATUS = 599;

  /** More than any upstream has a reason for; some might come without end. */
  private static final int MAX_SKIPPED_RESPONSES = 16;

  /** Receives the response and the outcome of an exchange. */
  interface Listener {
    /** Called when the status line and headers of the response have arrived. */
    void head(HttpResponse head, HttpDialect.ResponseMetadata metadata);

    /**
     * Called when a part of the body has arrived; the listener must retain the buffer to keep it.
     */
    void content(ByteBuf part);

    /** Called when all parts that were read together have been passed to the listener. */
    void readComplete();

    /** Called when the response is complete, as its framing tells. */
    void complete(BodyFraming framing);

    /** Called when the exchange has failed; no further calls follow. */
    void failed(Verdict verdict, String cause);
  }

  private final HttpDialect dialect;
  private final FullHttpRequest request;
  private final String requestId;
  private final Listener listener;
  private final boolean isHeadRequest;
  private UpstreamConnection connection;
  private ChannelFuture write;
  private boolean ended;
  private boolean headSeen;
  private boolean skippingResponse;
  private int skippedResponses;
  private BodyFraming framing = BodyFraming.CLOSE;
  private boolean keepAlive;

  /**
   * Creates an exchange that hasn't begun.
   *
   * @param dialect translates the headers of the response
   * @param request the request, which is released when it is written
   * @param requestId id that the response repeats, empty if responses to such requests have none
   * @param listener receives the response
   */
  UpstreamExchange(
      HttpDialect dialect, FullHttpRequest request, String requestId, Listener listener) {
    this.dialect = requireNonNull(dialect, "dialect");
    this.request = requireNonNull(request, "request");
    this.requestId = requireNonNull(requestId, "requestId");
    this.listener = requireNonNull(listener, "listener");
    isHeadRequest = request.method().equals(HttpMethod.HEAD);
  }

  boolean hasEnded() {
    return ended;
  }

  void connected(UpstreamConnection newConnection) {
    connection = newConnection;
    connection.start(this, isHeadRequest);
    write = connection.channel().writeAndFlush(request);
  }

  void connectFailed(Throwable cause) {
    request.release();
    if (!ended) {
      ended = true;
      listener.failed(Verdict.NOT_RUN, "could not connect: " + cause);
    }
  }

  /** Abandons the exchange; the closed connection tells the upstream to stop its work. */
  void abandon() {
    if (!ended) {
      ended = true;
      if (connection != null) {
        connection.close();
      }
    }
  }

  void setReading(boolean wanted) {
    if (!ended && connection != null) {
      connection.channel().config().setAutoRead(wanted);
    }
  }

  void received(HttpObject part) {
    if (ended) {
      return;
    }
    if (part.decoderResult().isFailure()) {
      fail("malformed HTTP response: " + part.decoderResult().cause());
      return;
    }
    if (part instanceof HttpResponse head) {
      receivedHead(head);
    }
    if (part instanceof HttpContent content && !ended) {
      receivedContent(content);
    }
  }

  private void receivedHead(HttpResponse head) {
    if (!isPossible(head.status())) {
      fail("response with status " + head.status().code() + ", which no request can have");
      return;
    }
    HttpDialect.ResponseMetadata metadata = dialect.readResponse(head);
    Optional<String> respondedId = metadata.requestId().filter(id -> !id.isEmpty());
    boolean forOtherRequest = respondedId.filter(id -> !id.equals(requestId)).isPresent();
    skippingResponse = forOtherRequest || head.status().code() < FIRST_FINAL_STATUS;
    if (skippingResponse) {
      skippedResponses++;
      if (skippedResponses > MAX_SKIPPED_RESPONSES) {
        fail("too many responses that are interim ones or to other requests");
      }
      return;
    }
    if (respondedId.isEmpty() && mayBeOfEarlierRequest()) {
      fail("response without a request id, which may be an earlier one, status " + head.status());
      return;
    }
    headSeen = true;
    connection.recordResponseStart();
    framing = BodyFraming.of(head, isHeadRequest);
    keepAlive = HttpUtil.isKeepAlive(head) && framing != BodyFraming.CLOSE;
    metadata.idleTimeout().ifPresent(connection::idleTimeout);
    listener.head(head, metadata);
  }

  /** Tells whether a status exists in HTTP; requests never ask for another protocol. */
  private static boolean isPossible(HttpResponseStatus status) {
    return status.code() >= FIRST_STATUS
        && status.code() <= LAST_STATUS
        && !status.equals(HttpResponseStatus.SWITCHING_PROTOCOLS);
  }

  /** Tells whether a response that names no request may belong to an earlier one. */
  private boolean mayBeOfEarlierRequest() {
    return !requestId.isEmpty() && connection.isReused();
  }

  private void receivedContent(HttpContent content) {
    boolean last = content instanceof LastHttpContent;
    if (skippingResponse) {
      skippingResponse = !last;
      return;
    }
    if (!headSeen) {
      return;
    }
    if (content.content().isReadable()) {
      listener.content(content.content());
    }
    if (last && !ended) {
      if (framing == BodyFraming.CLOSE && !write.isSuccess()) {
        // A failed write closes the connection too, wherever the upstream is in its response.
        fail("connection closed before the request was written");
      } else {
        finish();
      }
    }
  }

  private void finish() {
    ended = true;
    UpstreamConnection finished = connection;
    finished.recordResponseEnd();
    if (!keepAlive) {
      finished.close();
    } else {
      // The upstream may have responded early and still read the rest of the request.
      write.addListener(done -> finished.returnToPool());
    }
    listener.complete(framing);
  }

  void readComplete() {
    if (!ended && headSeen) {
      listener.readComplete();
    }
  }

  void connectionLost(String cause) {
    fail(cause);
  }

  private void fail(String cause) {
    if (!ended) {
      ended = true;
      connection.close();
      listener.failed(Verdict.MAY_HAVE_RUN, cause);
    }
  }
}
