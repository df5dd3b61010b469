package org.dandelionbeam.base;

/** Tells whether a request may have run on an upstream. */
public enum Verdict {
  /** The request was never sent, or the upstream proved that it did not start it. */
  NOT_RUN {
    @Override
    public boolean mayBeSentAgain(boolean idempotent) {
      return true;
    }
  },
  /** The request may have been sent, and its outcome is not known. */
  MAY_HAVE_RUN {
    @Override
    public boolean mayBeSentAgain(boolean idempotent) {
      return idempotent;
    }
  },
  /** The upstream answered the request. */
  RAN {
    @Override
    public boolean mayBeSentAgain(boolean idempotent) {
      return false;
    }
  };

  /**
   * Tells whether a request with this verdict may be sent to an upstream once more.
   *
   * @param idempotent whether the configuration declares this kind of request idempotent
   * @return true if another attempt is safe
   */
  public abstract boolean mayBeSentAgain(boolean idempotent);

  /**
   * Combines the verdicts of two attempts of one request.
   *
   * @param other the verdict of the other attempt
   * @return the stronger verdict, in the order {@link #NOT_RUN}, {@link #MAY_HAVE_RUN}, {@link
   *     #RAN}
   */
  public Verdict join(Verdict other) {
    return compareTo(other) >= 0 ? this : other;
  }
}
