package org.dandelionbeam.membership;

import java.util.List;

/**
 * News of members and failure domains that is piggybacked on other messages, limited in number.
 *
 * @param updates states of members
 * @param marks marks of failure domains
 */
public record Gossip(List<MemberUpdate> updates, List<DomainMark> marks) {
  private static final Gossip NONE = new Gossip(List.of(), List.of());

  /** Copies the lists. */
  public Gossip {
    updates = List.copyOf(updates);
    marks = List.copyOf(marks);
  }

  /**
   * Returns gossip without news.
   *
   * @return empty lists
   */
  public static Gossip none() {
    return NONE;
  }

  /** Supplies the news to attach to messages. */
  @FunctionalInterface
  public interface Source {

    /**
     * Returns the news for the next message and counts it as sent once.
     *
     * @return the news, limited in number
     */
    Gossip next();
  }

  /**
   * State of a member as some node observed or heard it.
   *
   * @param node name of the node
   * @param state ordinal of the {@link FailureDetector.State}
   * @param incarnation incarnation of the member that the state is about; the member raises it to
   *     refute a suspicion
   */
  public record MemberUpdate(String node, int state, long incarnation) {}
}
