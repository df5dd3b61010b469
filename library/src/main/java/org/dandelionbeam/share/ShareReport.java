package org.dandelionbeam.share;

import java.util.List;
import org.dandelionbeam.base.ServiceId;
import org.dandelionbeam.base.TeamId;
import org.dandelionbeam.peer.PeerMessage;

/**
 * Usage counters of one owner, sent to the home of the reported teams.
 *
 * @param incarnation number of the sender's incarnation, growing with each start and wrapping
 *     around
 * @param tick number of the sender's tick, echoed in the answer
 * @param entries the counters
 */
public record ShareReport(int incarnation, long tick, List<Entry> entries) implements PeerMessage {

  /** Copies the list. */
  public ShareReport {
    entries = List.copyOf(entries);
  }

  /**
   * Usage of one team on one service.
   *
   * @param service the service
   * @param team the team
   * @param granted usage that the sender granted since its incarnation started
   * @param unconfirmed part of {@code granted} that no home has confirmed
   * @param others usage at other owners in the last answer of a home, 0 without an answer
   */
  public record Entry(ServiceId service, TeamId team, long granted, long unconfirmed, long others) {

    long confirmed() {
      return granted - unconfirmed;
    }

    /** Returns the fleet-wide total as of the last answer that the sender received. */
    long knownTotal() {
      return confirmed() + others;
    }
  }
}
