package org.dandelionbeam.daemon.capacity;

import java.util.ArrayList;
import java.util.List;

/** Computes the control cost of each role at the design size from the slopes. */
final class CapacityModel {
  private static final double PERCENT = 100;
  private static final double MICROS_PER_SECOND = 1e6;
  private static final double MILLIS_PER_SECOND = 1e3;

  private final Slopes slopes;

  CapacityModel(Slopes slopes) {
    this.slopes = slopes;
  }

  /** Returns the cost of each control role; their sum is compared with the budget. */
  List<RoleCost> controlCosts() {
    double requests = DesignSize.requestsPerNode();
    List<RoleCost> costs = new ArrayList<>();
    costs.add(
        new RoleCost(
            "membership, loans, domains",
            slope("membership_messages"),
            slope("membership_bytes"),
            slope("membership_core"),
            slope("membership_memory")));
    costs.add(rosterChanges());
    costs.add(
        new RoleCost(
            "config, idle",
            slope("config_messages"),
            slope("config_bytes"),
            0,
            slope("config_memory")));
    costs.add(configChanges());
    costs.add(
        new RoleCost(
            "dispatch and share, requests",
            slope("request_messages") * requests,
            slope("request_bytes") * requests,
            slope("request_core") * requests / MICROS_PER_SECOND * PERCENT,
            slope("dispatch_memory")));
    costs.add(waitingRequests());
    costs.add(new RoleCost("duty threads, ticks", 0, 0, slope("idle_core"), 0));
    return costs;
  }

  RoleCost totalControlCost() {
    RoleCost sum = new RoleCost("sum", 0, 0, 0, 0);
    for (RoleCost cost : controlCosts()) {
      sum = sum.plus(cost);
    }
    return sum;
  }

  /** Returns the writes per second of the whole fleet to the platform's key-value store. */
  double platformWrites(double claimsPerSecond) {
    return slope("claim_writes") * claimsPerSecond
        + DesignSize.rosterChangesPerSecond()
        + DesignSize.configChangesPerSecond();
  }

  /** Returns the reads and watches per second of the whole fleet at the platform. */
  double platformReads(double claimsPerSecond) {
    return slope("platform_idle_calls")
        + slope("claim_writes") * claimsPerSecond
        + slope("config_change_calls") * DesignSize.configChangesPerSecond()
        + DesignSize.NODES / slope("vm_list_period");
  }

  /** Returns the claims per second at which the platform's limit on writes is reached. */
  double maxClaimsPerSecond() {
    return DesignSize.PLATFORM_WRITES_PER_SECOND / slope("claim_writes");
  }

  /** Returns the percentage of a core that relaying tokens takes; it is no control cost. */
  double relayCorePercent() {
    double tokens = DesignSize.tokensPerNode() / slope("relay_tokens");
    return tokens * slope("relay_core") * PERCENT;
  }

  private RoleCost rosterChanges() {
    double changes = DesignSize.rosterChangesPerSecond();
    double corePercent = changes * slope("roster_adopt") / MILLIS_PER_SECOND * PERCENT;
    return new RoleCost("roster changes", changes, changes * slope("roster_bytes"), corePercent, 0);
  }

  private RoleCost configChanges() {
    double changes = DesignSize.configChangesPerSecond();
    double corePercent = changes * slope("config_patch") / MILLIS_PER_SECOND * PERCENT;
    return new RoleCost(
        "config changes", changes, changes * slope("config_change_bytes"), corePercent, 0);
  }

  /** Returns the cost of the extra messages of the tenth of the requests that wait. */
  private RoleCost waitingRequests() {
    double extraMessages = slope("dispatch_lines_waiting") - slope("dispatch_lines_granted");
    double messages = DesignSize.requestsPerNode() * DesignSize.BACKLOGGED_SHARE * extraMessages;
    return new RoleCost(
        "dispatch, waiting tickets", messages, messages * slope("dispatch_line_bytes"), 0, 0);
  }

  private double slope(String id) {
    return slopes.value(id);
  }
}
