package org.dandelionbeam.membership;

import java.util.List;
import org.dandelionbeam.peer.PeerMessage;

/**
 * All marks of failure domains that the sender knows.
 *
 * @param marks the marks
 */
public record DomainMarksMessage(List<DomainMark> marks) implements PeerMessage {

  /** Copies the list. */
  public DomainMarksMessage {
    marks = List.copyOf(marks);
  }
}
