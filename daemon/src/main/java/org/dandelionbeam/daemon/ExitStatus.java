package org.dandelionbeam.daemon;

/** Exit statuses of all commands. */
public enum ExitStatus {
  /** The command succeeded. */
  OK(0),
  /** The arguments are valid and the command failed. */
  FAILED(1),
  /** The arguments or settings are wrong; nothing was done. */
  USAGE(2);

  private final int status;

  ExitStatus(int status) {
    this.status = status;
  }

  /**
   * Returns the exit status as a number.
   *
   * @return the status
   */
  public int status() {
    return status;
  }
}
