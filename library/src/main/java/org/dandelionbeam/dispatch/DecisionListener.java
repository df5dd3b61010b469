package org.dandelionbeam.dispatch;

import org.dandelionbeam.base.RequestId;

/** Takes notes on what was decided for a request and why. */
@FunctionalInterface
public interface DecisionListener {

  /**
   * Takes a note.
   *
   * @param request the request
   * @param step short name of the step
   * @param detail one sentence with values
   */
  void decided(RequestId request, String step, String detail);
}
