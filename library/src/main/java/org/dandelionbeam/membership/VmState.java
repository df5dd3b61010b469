package org.dandelionbeam.membership;

/** State of a VM according to the platform's list, which lags behind. */
public enum VmState {
  /** The VM runs. */
  LIVE(true),
  /** The VM will be removed soon. */
  LEAVING(false),
  /** The VM no longer exists. */
  GONE(false);

  private final boolean acceptsNewWork;

  VmState(boolean acceptsNewWork) {
    this.acceptsNewWork = acceptsNewWork;
  }

  /**
   * Tells whether the VM may get new work according to the list.
   *
   * @return false for a VM that is leaving or gone
   */
  public boolean acceptsNewWork() {
    return acceptsNewWork;
  }
}
