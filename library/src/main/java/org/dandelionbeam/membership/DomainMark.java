package org.dandelionbeam.membership;

import static java.util.Objects.requireNonNull;

/**
 * Operators' decision to take a failure domain out of service or to bring it back, with a logical
 * timestamp.
 *
 * <p>The timestamp consists of a counter and the name of the node that set the mark. It is
 * independent of the revisions of the platform's keys.
 *
 * @param domain name of the failure domain
 * @param leaving true after {@code domain leave}, false after {@code domain return}
 * @param counter one more than the highest counter for this domain that the node setting the mark
 *     knew
 * @param node name of the node that set the mark; breaks ties between equal counters
 */
public record DomainMark(String domain, boolean leaving, long counter, String node) {

  /** Checks that no reference is null. */
  public DomainMark {
    requireNonNull(domain, "domain");
    requireNonNull(node, "node");
  }

  /**
   * Tells whether this mark replaces another mark of the same domain.
   *
   * @param other the other mark
   * @return true if this mark has the later timestamp
   */
  public boolean isNewerThan(DomainMark other) {
    int byCounter = Long.compare(counter, other.counter);
    return byCounter != 0 ? byCounter > 0 : node.compareTo(other.node) > 0;
  }
}
