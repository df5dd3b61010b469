package org.dandelionbeam.share;

import java.util.List;
import org.dandelionbeam.base.ServiceId;
import org.dandelionbeam.base.TeamId;
import org.dandelionbeam.peer.PeerMessage;

/**
 * Answer of a home to a {@link ShareReport}.
 *
 * @param incarnation number of the home's incarnation
 * @param tick tick of the answered report
 * @param totals totals of the teams in that report
 */
public record ShareTotals(int incarnation, long tick, List<Total> totals) implements PeerMessage {

  /** Copies the list. */
  public ShareTotals {
    totals = List.copyOf(totals);
  }

  /**
   * Usage that the other owners granted to one team on one service.
   *
   * @param service the service
   * @param team the team
   * @param others fleet-wide total without the usage at the reporting node
   * @param baselineChanges how often the home raised the total to one that an earlier home had
   *     answered
   */
  public record Total(ServiceId service, TeamId team, long others, int baselineChanges) {}
}
