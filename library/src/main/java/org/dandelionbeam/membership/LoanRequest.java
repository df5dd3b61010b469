package org.dandelionbeam.membership;

import java.util.List;
import org.dandelionbeam.peer.PeerMessage;

/**
 * Request of an owner for the slots of another candidate.
 *
 * @param epoch revision of the sender's roster
 * @param incarnation number of the sender's process
 * @param sentNanos monotonic time of the sender, which the answer repeats
 * @param windows the upstreams, with their windows
 * @param gossip news of members and failure domains
 */
public record LoanRequest(
    long epoch, long incarnation, long sentNanos, List<UpstreamWindow> windows, Gossip gossip)
    implements PeerMessage {

  /** Copies the list. */
  public LoanRequest {
    windows = List.copyOf(windows);
  }

  /**
   * One upstream of a request.
   *
   * @param upstream number of the upstream
   * @param cold whether the upstream is cold
   * @param limit most requests in flight now, 0 if the owner knows no window yet
   */
  public record UpstreamWindow(int upstream, boolean cold, int limit) {}
}
