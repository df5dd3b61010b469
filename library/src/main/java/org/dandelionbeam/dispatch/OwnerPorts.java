package org.dandelionbeam.dispatch;

import static java.util.Objects.requireNonNull;

import org.dandelionbeam.membership.Ownership;

/**
 * Functions of other components that an owner uses.
 *
 * @param ownership which node owns which upstream
 * @param windowFactory creates admission windows
 * @param estimates cost estimates of requests
 * @param remoteUsage usage of teams at other owners
 * @param affinity which upstreams have which prompt prefixes in their cache
 * @param usageListener receives the usage of teams at this owner
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
