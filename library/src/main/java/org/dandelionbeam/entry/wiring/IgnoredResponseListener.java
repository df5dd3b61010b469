package org.dandelionbeam.entry.wiring;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import org.dandelionbeam.upstream.ExchangeFault;
import org.dandelionbeam.upstream.wiring.Exchange;

/** Listener for cancel requests, whose response is ignored. */
final class IgnoredResponseListener implements Exchange.Listener {

  @Override
  public void head(HttpResponse head) {
    // The response to a cancel request is ignored.
  }

  @Override
  public void body(ByteBuf part) {
    // The response to a cancel request is ignored.
  }

  @Override
  public void end() {
    // The response to a cancel request is ignored.
  }

  @Override
  public void failed(ExchangeFault fault) {
    // If the cancel request fails, the engine finishes the work.
  }
}
