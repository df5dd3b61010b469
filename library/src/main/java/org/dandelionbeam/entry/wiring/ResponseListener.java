package org.dandelionbeam.entry.wiring;

import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;
import org.dandelionbeam.entry.FlowAction;
import org.dandelionbeam.upstream.ExchangeFault;
import org.dandelionbeam.upstream.wiring.Exchange;

/** Receives the response of one attempt and relays it to the caller. */
interface ResponseListener extends Exchange.Listener {
  String NOT_RUN_HEADER = "x-not-run";
  int TOO_MANY_REQUESTS = 429;
  int BAD_GATEWAY = 502;
  int UNAVAILABLE = 503;
  int GATEWAY_TIMEOUT = 504;

  /** Returns whether a part of the response was sent to the caller. */
  boolean isRelaying();

  /** Ends a response of which a part was sent to the caller. */
  void abort(FlowAction.Fail failure);

  /** Returns the cost of the work known to be done, in the cost unit of the service. */
  double costSoFar();

  /** Returns the fault that the head of a response shows, empty if the response can be used. */
  static Optional<ExchangeFault> faultOf(RequestRelay relay, HttpResponse head) {
    int status = head.status().code();
    if (!relay.matchesRequest(head)) {
      return Optional.of(ExchangeFault.MISMATCHED);
    }
    boolean refusing = status == TOO_MANY_REQUESTS || status == UNAVAILABLE;
    if (refusing && head.headers().contains(NOT_RUN_HEADER)) {
      return Optional.of(ExchangeFault.REFUSED);
    }
    if (status == BAD_GATEWAY || status == UNAVAILABLE || status == GATEWAY_TIMEOUT) {
      return Optional.of(ExchangeFault.GATEWAY_STATUS);
    }
    return Optional.empty();
  }
}
