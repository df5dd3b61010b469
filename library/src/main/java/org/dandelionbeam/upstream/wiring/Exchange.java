package org.dandelionbeam.upstream.wiring;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import org.dandelionbeam.upstream.ExchangeFault;

/** Request to an upstream and its response; used only on the event loop that started it. */
public interface Exchange {

  /** Cancels the exchange: closes the connection and makes no further call to the listener. */
  void abandon();

  /**
   * Pauses or resumes reading the response, for back-pressure.
   *
   * @param reading false while the caller can't take more data
   */
  void setReading(boolean reading);

  /** Receives the parts of a response, on the event loop. */
  interface Listener {

    /**
     * Handles the head of the response.
     *
     * @param head status and headers
     */
    void head(HttpResponse head);

    /**
     * Handles a part of the response body.
     *
     * @param part bytes of the part; the buffer is released after the call
     */
    void body(ByteBuf part);

    /** Handles the end of a complete response. */
    void end();

    /**
     * Handles the failure of the exchange; no further call follows.
     *
     * @param fault way in which it failed
     */
    void failed(ExchangeFault fault);
  }
}
