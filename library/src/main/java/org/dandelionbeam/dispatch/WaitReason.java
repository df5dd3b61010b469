package org.dandelionbeam.dispatch;

/** Reason why a ticket waits at its owner. */
public enum WaitReason {
  /** All admitted slots of the suitable upstreams are in use. */
  WINDOW_FULL("all slots are in use"),
  /** The suitable upstreams are cold and all slots of their cold limit are in use. */
  COLD("the upstream is cold and all slots of its cold limit are in use"),
  /** The owner has just taken over and waits for entries to report their attempts in flight. */
  TAKEOVER("the owner has just taken over the upstream"),
  /** The owner has no slots of the suitable upstreams now. */
  NO_SLOTS("the owner has no slots of the upstream");

  private final String text;

  WaitReason(String text) {
    this.text = text;
  }

  /**
   * Returns a description of the reason for operators.
   *
   * @return a clause without capital letter and period
   */
  public String text() {
    return text;
  }
}
