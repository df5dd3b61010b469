package org.dandelionbeam.membership;

import java.util.List;
import org.dandelionbeam.peer.PeerMessage;

/**
 * Response to a {@link LoanRequest}; its loans replace those of earlier responses.
 *
 * @param epoch revision of the sender's roster
 * @param requestSentNanos sending time of the request, copied from it
 * @param loans one loan for each upstream of the request
 * @param gossip news of members and failure domains
 */
public record LoanResponse(long epoch, long requestSentNanos, List<Loan> loans, Gossip gossip)
    implements PeerMessage {

  /** Copies the list. */
  public LoanResponse {
    loans = List.copyOf(loans);
  }

  /**
   * Slots of one upstream that the lender lends.
   *
   * @param upstream number of the upstream
   * @param warm warm slots lent, 0 for a refusal
   * @param cold cold slots lent
   */
  public record Loan(int upstream, int warm, int cold) {}
}
