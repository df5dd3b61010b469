package org.dandelionbeam.node.wiring;

import static java.util.Objects.requireNonNull;

import org.dandelionbeam.base.ServiceId;
import org.dandelionbeam.base.TeamId;
import org.dandelionbeam.dispatch.UsageListener;
import org.dandelionbeam.share.wiring.ShareManager;

/** Forwards the usage that an owner charges to teams to the {@link ShareManager}. */
final class UsageForwarder implements UsageListener {
  private final ShareManager share;

  UsageForwarder(ShareManager share) {
    this.share = requireNonNull(share, "share");
  }

  @Override
  public void waited(ServiceId service, TeamId team, long waitNanos) {
    // Waiting time is not usage.
  }

  @Override
  public void queued(ServiceId service, TeamId team) {
    share.remoteUsage(service, team);
  }

  @Override
  public void charged(ServiceId service, TeamId team, double cost) {
    share.addUsage(service, team, cost);
  }

  @Override
  public void ended(ServiceId service, TeamId team, double cost) {
    // The difference to the estimate has already been charged.
  }
}
