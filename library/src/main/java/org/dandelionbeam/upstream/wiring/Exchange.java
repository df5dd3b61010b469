package org.dandelionbeam.upstream.wiring;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import org.dandelionbeam.upstream.ExchangeFault;

/** One request to an upstream and its answer; used on the event loop that started it. */
public interface Exchange {

  /** Ends the exchange without a further call of its listener and closes the connection. */
  void abandon();

  /**
   * Pauses or goes on with reading the answer.
   *
   * @param reading false while the caller can't take more
   */
  void setReading(boolean reading);

  /** Receives the parts of an answer, on the event loop. */
  interface Listener {

    /**
     * The head of the answer came.
     *
     * @param head status and headers
     */
    void head(HttpResponse head);

    /**
     * A part of the body came.
     *
     * @param part its bytes, released after the call
     */
    void body(ByteBuf part);

    /** The answer is whole. */
    void end();

    /**
     * The exchange failed; no further call follows.
     *
     * @param fault how
     */
    void failed(ExchangeFault fault);
  }
}
