package org.dandelionbeam.membership;

import java.util.List;
import org.dandelionbeam.peer.PeerMessage;

/**
 * Answer to a {@link LoanRequest}; it replaces what the lender lent before.
 *
 * @param epoch revision of the sender's roster
 * @param requestSentNanos stamp of the request
 * @param loans one for each upstream of the request
 * @param gossip news of members and failure domains
 */
public record LoanResponse(long epoch, long requestSentNanos, List<Loan> loans, Gossip gossip)
    implements PeerMessage {

  /** Copies the list. */
  public LoanResponse {
    loans = List.copyOf(loans);
  }

  /**
   * Slots of one upstream.
   *
   * @param upstream number of the upstream
   * @param warm warm slots lent, 0 for a refusal
   * @param cold cold slots lent
   */
  public record Loan(int upstream, int warm, int cold) {}
}
