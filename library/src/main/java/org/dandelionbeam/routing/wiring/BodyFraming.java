package org.dandelionbeam.routing.wiring;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import java.util.Locale;
import java.util.Set;

/** How the receiver of a response finds the end of its body. */
enum BodyFraming {
  /** There is no body, whatever the head says of its length. */
  NONE,
  /** The head states the length. */
  LENGTH,
  /** The body is sent in chunks, the last of which is empty. */
  CHUNKED,
  /** The body ends when the sender closes the connection. */
  CLOSE;

  private static final Set<HttpResponseStatus> STATUSES_WITHOUT_BODY =
      Set.of(HttpResponseStatus.NO_CONTENT, HttpResponseStatus.NOT_MODIFIED);

  /**
   * Returns the framing of a response.
   *
   * @param head status line and headers of the response
   * @param isHeadRequest whether it responds to a request with the method HEAD
   */
  static BodyFraming of(HttpResponse head, boolean isHeadRequest) {
    if (isHeadRequest || STATUSES_WITHOUT_BODY.contains(head.status())) {
      return NONE;
    }
    if (HttpUtil.isTransferEncodingChunked(head)) {
      return CHUNKED;
    }
    return HttpUtil.isContentLengthSet(head) ? LENGTH : CLOSE;
  }

  /** Returns the name for logs and metrics. */
  String label() {
    return name().toLowerCase(Locale.ROOT);
  }
}
