package org.dandelionbeam.entry;

/** Bounds retries to a share of recent successes, so that retries can't multiply an overload. */
public final class RetryBudget {
  private static final double MAX_BALANCE = 100;
  private static final double INITIAL_BALANCE = 10;

  private final double retriesPerSuccess;
  private double balance = INITIAL_BALANCE;

  private RetryBudget(double retriesPerSuccess) {
    this.retriesPerSuccess = retriesPerSuccess;
  }

  /**
   * Returns a budget.
   *
   * @param retriesPerSuccess retries earned by one success, 0 or more
   * @return a budget with a small start balance
   */
  public static RetryBudget of(double retriesPerSuccess) {
    if (!(retriesPerSuccess >= 0)) {
      throw new IllegalArgumentException("share must not be negative: " + retriesPerSuccess);
    }
    return new RetryBudget(retriesPerSuccess);
  }

  /** Earns a share of a retry. */
  public void recordSuccess() {
    balance = Math.min(MAX_BALANCE, balance + retriesPerSuccess);
  }

  /**
   * Takes one retry from the budget.
   *
   * @return false if the budget is used up
   */
  public boolean tryAcquire() {
    if (balance < 1) {
      return false;
    }
    balance -= 1;
    return true;
  }
}
