package org.dandelionbeam.base;

import static java.util.Objects.requireNonNull;

/** Unchecked exception with an error code and a verdict. */
public final class FleetException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final ErrorCode code;
  private final Verdict verdict;

  /**
   * Creates an exception for something that did not run.
   *
   * @param code the error code
   * @param detail what was wrong, with values
   */
  public FleetException(ErrorCode code, String detail) {
    this(code, Verdict.NOT_RUN, detail);
  }

  /**
   * Creates an exception.
   *
   * @param code the error code
   * @param verdict whether the request may have run
   * @param detail what was wrong, with values
   */
  public FleetException(ErrorCode code, Verdict verdict, String detail) {
    super(detail);
    this.code = requireNonNull(code, "code");
    this.verdict = requireNonNull(verdict, "verdict");
  }

  /**
   * Returns the error code.
   *
   * @return the code
   */
  public ErrorCode code() {
    return code;
  }

  /**
   * Returns whether the failed request may have run.
   *
   * @return the verdict
   */
  public Verdict verdict() {
    return verdict;
  }
}
