package org.dandelionbeam.dispatch;

import static java.util.Objects.requireNonNull;

import java.util.Comparator;
import org.dandelionbeam.base.NodeId;

/**
 * Key of a ticket at an owner.
 *
 * @param entry node that sent the ticket
 * @param number number that the entry assigned to this placement of the ticket
 */
public record TicketKey(NodeId entry, long number) implements Comparable<TicketKey> {
  private static final Comparator<TicketKey> ORDER =
      Comparator.comparing(TicketKey::entry).thenComparingLong(TicketKey::number);

  /** Checks that the entry is not null. */
  public TicketKey {
    requireNonNull(entry, "entry");
  }

  /**
   * Returns the key of a ticket.
   *
   * @param entry node that sent the ticket
   * @param number number of the placement
   * @return the key
   */
  public static TicketKey of(NodeId entry, long number) {
    return new TicketKey(entry, number);
  }

  @Override
  public int compareTo(TicketKey other) {
    return ORDER.compare(this, other);
  }
}
