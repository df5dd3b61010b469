package org.dandelionbeam.membership;

import java.util.List;
import org.dandelionbeam.peer.PeerMessage;

/**
 * Statement of a borrower that it uses no slots of a lender beyond those that running requests
 * hold.
 *
 * <p>The sender accepts no offer whose stamp is not above the stamp of this statement.
 *
 * @param epoch revision of the sender's roster
 * @param incarnation number of the sender's process
 * @param sentNanos monotonic time of the sender
 * @param uses the upstreams, with the cold slots still held
 */
public record LoanReturn(long epoch, long incarnation, long sentNanos, List<Use> uses)
    implements PeerMessage {

  /** Copies the list. */
  public LoanReturn {
    uses = List.copyOf(uses);
  }

  /**
   * Slots of one upstream that running requests hold.
   *
   * @param upstream number of the upstream
   * @param cold cold slots of the lender that are held at most
   */
  public record Use(int upstream, int cold) {}
}
