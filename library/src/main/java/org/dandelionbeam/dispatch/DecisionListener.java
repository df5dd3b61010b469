package org.dandelionbeam.dispatch;

import org.dandelionbeam.base.RequestId;

/** Receives the dispatch decisions on a request and their reasons. */
@FunctionalInterface
public interface DecisionListener {

  /**
   * Receives a decision.
   *
   * @param request request that the decision is about
   * @param step short name of the decision, such as {@code queued}
   * @param detail reason and values, as one sentence
   */
  void decided(RequestId request, String step, String detail);
}
