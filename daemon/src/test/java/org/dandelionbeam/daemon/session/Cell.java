package org.dandelionbeam.daemon.session;

/**
 * Cell of the fault matrix.
 *
 * @param step at which the fault occurs
 * @param fault fault that is injected
 * @param kind kind of the request
 */
record Cell(Step step, MatrixFault fault, MatrixKind kind) {

  /** Tells whether requests of this kind have this step. */
  boolean hasStep() {
    return step != Step.CLAIM || kind == MatrixKind.KEYED;
  }

  boolean mustBeAnswered() {
    return !hasStep() || fault.mustBeAnswered(step, kind);
  }

  /**
   * Tells whether the fault may occur just before or just after the router has sent the request.
   */
  boolean mayOccurBeforeSending() {
    boolean cuts = fault == MatrixFault.UPSTREAM_REFUSED || fault == MatrixFault.UPSTREAM_RESET;
    return step == Step.CONNECT && cuts && !kind.mayBeRepeated();
  }

  String reference() {
    return step + "-" + fault + "-" + kind;
  }
}
