package org.dandelionbeam.routing;

import static java.util.Objects.requireNonNull;

/**
 * Entry of an upstream in the platform's key-value store.
 *
 * @param instance what the upstream says of itself
 * @param sequence number that grows with each write of this start of the upstream, {@link
 *     #UNNUMBERED} if the entry has none
 * @param revision revision of the store at the last change of the entry
 */
public record UpstreamEntry(UpstreamInstance instance, long sequence, long revision) {
  /** Sequence number of an entry without one, which is taken for current. */
  public static final long UNNUMBERED = Long.MAX_VALUE;

  /** Checks the instance. */
  public UpstreamEntry {
    requireNonNull(instance, "instance");
  }

  /**
   * Creates an entry without a sequence number.
   *
   * @param instance what the upstream says of itself
   * @param revision revision of the store at the last change of the entry
   * @return the entry
   */
  public static UpstreamEntry of(UpstreamInstance instance, long revision) {
    return new UpstreamEntry(instance, UNNUMBERED, revision);
  }

  /**
   * Tells whether this entry was written before another one.
   *
   * @param other entry of an upstream with the same id
   * @return true if the other one is of a later start, or later of the same start
   */
  public boolean isOlderThan(UpstreamEntry other) {
    return instance.incarnation() < other.instance.incarnation()
        || (isSameStart(other) && other.sequence != UNNUMBERED && sequence < other.sequence);
  }

  /**
   * Tells whether this is a copy of another entry.
   *
   * @param other entry of an upstream with the same id
   * @return true if both are of the same start and have the same number
   */
  public boolean isCopyOf(UpstreamEntry other) {
    return isSameStart(other) && sequence != UNNUMBERED && sequence == other.sequence;
  }

  private boolean isSameStart(UpstreamEntry other) {
    return instance.incarnation() == other.instance.incarnation();
  }
}
