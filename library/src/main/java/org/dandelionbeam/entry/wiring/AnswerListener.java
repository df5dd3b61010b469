package org.dandelionbeam.entry.wiring;

import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;
import org.dandelionbeam.entry.FlowAction;
import org.dandelionbeam.upstream.ExchangeFault;
import org.dandelionbeam.upstream.wiring.Exchange;

/** Takes the answer of one attempt and gives it on to the caller. */
interface AnswerListener extends Exchange.Listener {
  String NOT_RUN_HEADER = "x-not-run";
  int TOO_MANY_REQUESTS = 429;
  int BAD_GATEWAY = 502;
  int UNAVAILABLE = 503;
  int GATEWAY_TIMEOUT = 504;

  /** Tells whether the caller has got a part of the answer. */
  boolean isRelaying();

  /** Ends an answer of which the caller has got a part. */
  void abort(FlowAction.Fail failure);

  /** Returns the work that is known to be done, in the service's unit. */
  double costSoFar();

  /** Finds what the head of an answer says against using the answer. */
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
