package org.dandelionbeam.entry;

/**
 * Limits retries to a fraction of the recent successes, so that retries can't multiply an overload.
 */
public final class RetryBudget {
  private static final double MAX_BALANCE = 100;
  private static final double INITIAL_BALANCE = 10;

  private final double retriesPerSuccess;
  private double balance = INITIAL_BALANCE;

  private RetryBudget(double retriesPerSuccess) {
    this.retriesPerSuccess = retriesPerSuccess;
  }

  /**
   * Creates a budget.
   *
   * @param retriesPerSuccess number of retries that one success adds, 0 or more
   * @return a budget that starts with a balance of 10 retries
   */
  public static RetryBudget of(double retriesPerSuccess) {
    if (!(retriesPerSuccess >= 0)) {
      throw new IllegalArgumentException(
          "retriesPerSuccess must be 0 or more: " + retriesPerSuccess);
    }
    return new RetryBudget(retriesPerSuccess);
  }

  /** Adds the retries that one success earns. */
  public void recordSuccess() {
    balance = Math.min(MAX_BALANCE, balance + retriesPerSuccess);
  }

  /**
   * Takes one retry from the budget, if there is one.
   *
   * @return true if the retry was taken, false if the budget is used up
   */
  public boolean tryAcquire() {
    if (balance < 1) {
      return false;
    }
    balance -= 1;
    return true;
  }
}
