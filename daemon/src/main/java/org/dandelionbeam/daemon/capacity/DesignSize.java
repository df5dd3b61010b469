package org.dandelionbeam.daemon.capacity;

/** Size, load and budgets of the fleet that the capacity page is computed for. */
final class DesignSize {
  static final double NODES = 410;
  static final double ENGINES = 920;
  static final double REQUESTS_PER_SECOND = 4_700;
  static final double TOKENS_PER_SECOND = 1_600_000;
  static final double CONFIG_CHANGES_PER_DAY = 1_600;
  static final double VM_EVENTS_PER_DAY = 217;
  static final double ROSTER_CHANGES_PER_VM_EVENT = 3;
  static final double SECONDS_PER_DAY = 86_400;
  static final double BACKLOGGED_SHARE = 0.1;
  static final double BUDGET_BYTES_PER_SECOND = 3_000;
  static final double BUDGET_CORE_PERCENT = 1.2;
  static final double BUDGET_MEMORY_MEBIBYTES = 32;
  static final double PLATFORM_WRITES_PER_SECOND = 300;
  static final double PLATFORM_READS_PER_SECOND = 2_000;

  private DesignSize() {}

  static double requestsPerNode() {
    return REQUESTS_PER_SECOND / NODES;
  }

  static double enginesPerNode() {
    return ENGINES / NODES;
  }

  static double tokensPerNode() {
    return TOKENS_PER_SECOND / NODES;
  }

  static double configChangesPerSecond() {
    return CONFIG_CHANGES_PER_DAY / SECONDS_PER_DAY;
  }

  static double rosterChangesPerSecond() {
    return VM_EVENTS_PER_DAY * ROSTER_CHANGES_PER_VM_EVENT / SECONDS_PER_DAY;
  }
}
