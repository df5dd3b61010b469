package org.dandelionbeam.standins;

import java.util.Locale;

/** Fault that can be injected into a stand-in. */
public enum Fault {
  /** The listener and all connections are closed until the fault is cleared. */
  REFUSE_CONNECT(Scope.SERVER),
  /** The connection is reset on receipt; the request does not run. */
  RESET_BEFORE_RUN(Scope.REQUEST),
  /** The request runs and the connection is reset before the first byte of the response. */
  RESET_AFTER_RUN(Scope.REQUEST),
  /** The request runs and the connection is reset in the middle of the response body. */
  RESET_MID_BODY(Scope.REQUEST),
  /** The request runs and no response is sent. */
  SILENT(Scope.REQUEST),
  /** The request runs and the response starts after a short delay. */
  SLOW(Scope.REQUEST),
  /** The request runs and the response starts after a long delay. */
  LATE(Scope.REQUEST),
  /** The request runs and the response to another request is sent, with that request's ids. */
  CROSSED(Scope.REQUEST),
  /** The request runs and bytes that are not HTTP are sent. */
  MALFORMED(Scope.REQUEST),
  /** The request does not run and is refused with an X-Not-Run header. */
  OVERLOADED(Scope.REQUEST),
  /** The engine turns cold without a restart. */
  COLD(Scope.SERVER),
  /**
   * The stand-in restarts: connections are reset; an engine gets a new boot id, loses its exchanges
   * and its cache, and is cold.
   */
  RESTART(Scope.SERVER);

  private final Scope scope;

  Fault(Scope scope) {
    this.scope = scope;
  }

  /**
   * Tells whether the fault affects single requests and not the whole stand-in.
   *
   * @return true if it is chosen at random for each request
   */
  public boolean isPerRequest() {
    return scope == Scope.REQUEST;
  }

  static Fault parse(String text) {
    return valueOf(text.toUpperCase(Locale.ROOT).replace('-', '_'));
  }

  private enum Scope {
    SERVER,
    REQUEST
  }
}
