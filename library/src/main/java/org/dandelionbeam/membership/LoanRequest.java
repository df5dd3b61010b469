package org.dandelionbeam.membership;

import java.util.List;
import org.dandelionbeam.peer.PeerMessage;

/**
 * Request of an owner to borrow slots from another candidate.
 *
 * @param epoch revision of the sender's roster
 * @param incarnation number of the sender's process
 * @param sentNanos the sender's monotonic time in nanoseconds, which the response repeats
 * @param windows the upstreams to borrow slots of, with their windows
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
   * Upstream to borrow slots of, with the state of its window.
   *
   * @param upstream number of the upstream
   * @param cold whether the upstream is cold
   * @param limit maximum number of requests in flight now, 0 if the owner knows no window yet
   */
  public record UpstreamWindow(int upstream, boolean cold, int limit) {}
}
