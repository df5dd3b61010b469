package org.dandelionbeam.dispatch;

import static java.util.Objects.requireNonNull;

import org.dandelionbeam.membership.Ownership;

/**
 * What an owner asks of other duties.
 *
 * @param ownership who owns which upstream
 * @param windowFactory makes admission windows
 * @param estimates estimates of cost
 * @param remoteUsage service that teams had at other owners
 * @param affinity which upstreams hold which prefixes
 * @param usageListener takes note of the service given
 */
public record OwnerPorts(
    Ownership ownership,
    Window.Factory windowFactory,
    CostEstimates estimates,
    RemoteUsage remoteUsage,
    Affinity affinity,
    UsageListener usageListener) {

  /** Checks that all ports are there. */
  public OwnerPorts {
    requireNonNull(ownership, "ownership");
    requireNonNull(windowFactory, "windowFactory");
    requireNonNull(estimates, "estimates");
    requireNonNull(remoteUsage, "remoteUsage");
    requireNonNull(affinity, "affinity");
    requireNonNull(usageListener, "usageListener");
  }
}
