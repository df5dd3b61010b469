package org.dandelionbeam.routing.wiring;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import java.util.Locale;

/** How the receiver of a response finds the end of its body. */
enum BodyFraming {
  /** The head states the length. */
  LENGTH,
  /** The body is sent in chunks, the last of which is empty. */
  CHUNKED,
  /** The body ends when the sender closes the connection. */
  CLOSE;

  static BodyFraming of(HttpResponse head) {
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
