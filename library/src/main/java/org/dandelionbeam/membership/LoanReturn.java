package org.dandelionbeam.membership;

import java.util.List;
import org.dandelionbeam.peer.PeerMessage;

/**
 * Return of borrowed slots: from now on the borrower uses no slots of the lender except those that
 * running requests hold.
 *
 * <p>The sender ignores responses to requests that it sent before this return or at the same time.
 *
 * @param epoch revision of the sender's roster
 * @param incarnation number of the sender's process
 * @param sentNanos the sender's monotonic time in nanoseconds
 * @param uses the upstreams, with the cold slots that are still in use
 */
public record LoanReturn(long epoch, long incarnation, long sentNanos, List<Use> uses)
    implements PeerMessage {

  /** Copies the list. */
  public LoanReturn {
    uses = List.copyOf(uses);
  }

  /**
   * Slots of one upstream that running requests still use.
   *
   * @param upstream number of the upstream
   * @param cold maximum number of cold slots of the lender that are still in use
   */
  public record Use(int upstream, int cold) {}
}
