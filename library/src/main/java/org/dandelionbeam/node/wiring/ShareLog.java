package org.dandelionbeam.node.wiring;

import static java.util.Objects.requireNonNull;

import org.dandelionbeam.base.ServiceId;
import org.dandelionbeam.base.TeamId;
import org.dandelionbeam.dispatch.UsageListener;
import org.dandelionbeam.share.wiring.ShareManager;

/** Gives what an owner charges teams to the share duty. */
final class ShareLog implements UsageListener {
  private final ShareManager share;

  ShareLog(ShareManager share) {
    this.share = requireNonNull(share, "share");
  }

  @Override
  public void waited(ServiceId service, TeamId team, long waitNanos) {
    // Waiting is no service.
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
    // The correction of the estimate was charged already.
  }
}
