package org.dandelionbeam.membership;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.dandelionbeam.base.FailureDomain;
import org.dandelionbeam.base.NodeId;

/**
 * Operators' marks of failure domains that a node knows: which are leaving, and which return by
 * steps.
 */
public final class DomainMarks {
  private static final long RETURN_STEP_NANOS = Duration.ofSeconds(5).toNanos();
  private static final double[] RETURN_SHARES = {0.1, 0.2, 0.4, 0.7};
  private static final int SENDS_PER_MARK = 64;
  private static final int MAX_MARKS_PER_MESSAGE = 2;
  private static final int MAX_DOMAINS = 32;

  private final NodeId self;
  private final Map<String, Entry> marks = new TreeMap<>();

  /**
   * Creates an empty set of marks, by which no domain is leaving.
   *
   * @param self this node
   */
  public DomainMarks(NodeId self) {
    this.self = requireNonNull(self, "self");
  }

  /**
   * Sets a mark as an operator requested; does nothing if the domain has the wanted state already.
   *
   * @param domain the domain
   * @param leaving true to stop new work in the domain, false to bring it back
   * @param nowNanos monotonic time in nanoseconds
   * @return the mark in force
   */
  public DomainMark set(FailureDomain domain, boolean leaving, long nowNanos) {
    Entry known = marks.get(domain.name());
    if (known != null && known.mark.leaving() == leaving) {
      return known.mark;
    }
    long counter = known == null ? 1 : known.mark.counter() + 1;
    DomainMark mark = new DomainMark(domain.name(), leaving, counter, self.name());
    merge(mark, nowNanos);
    return mark;
  }

  /**
   * Merges a mark from a peer or the platform; an older mark than the known one is ignored.
   *
   * @param mark the mark
   * @param nowNanos monotonic time in nanoseconds
   * @return true if the mark is newly in force
   */
  public boolean merge(DomainMark mark, long nowNanos) {
    Entry known = marks.get(mark.domain());
    boolean isOld = known != null && !mark.isNewerThan(known.mark);
    if (isOld || (known == null && marks.size() >= MAX_DOMAINS)) {
      return false;
    }
    boolean returning = known != null && known.mark.leaving() && !mark.leaving();
    long fullShareNanos =
        returning ? nowNanos + RETURN_SHARES.length * RETURN_STEP_NANOS : nowNanos;
    marks.put(mark.domain(), new Entry(mark, fullShareNanos, SENDS_PER_MARK));
    return true;
  }

  /**
   * Tells whether a domain is leaving.
   *
   * @param domain the domain
   * @return true if it gets no new work
   */
  public boolean isLeaving(FailureDomain domain) {
    Entry entry = marks.get(domain.name());
    return entry != null && entry.mark.leaving();
  }

  /**
   * Returns the share of their windows that the upstreams of a domain may use.
   *
   * @param domain the domain
   * @param nowNanos monotonic time in nanoseconds
   * @return 0 while it is leaving, a larger share with each step of its return, then 1
   */
  public double admittedShare(FailureDomain domain, long nowNanos) {
    return shares().shareOf(domain, nowNanos);
  }

  /**
   * Returns an immutable copy of the admitted shares, which any thread may read.
   *
   * @return the shares that follow from the current marks
   */
  public Shares shares() {
    return marks.isEmpty() ? Shares.FULL : new Shares(Map.copyOf(marks));
  }

  /**
   * Returns marks to attach to a message and counts each as sent once.
   *
   * @return marks that have not been sent often enough yet, limited in number
   */
  public List<DomainMark> nextMarks() {
    List<DomainMark> result = new ArrayList<>();
    for (Map.Entry<String, Entry> item : marks.entrySet()) {
      Entry entry = item.getValue();
      if (entry.sendsLeft > 0 && result.size() < MAX_MARKS_PER_MESSAGE) {
        result.add(entry.mark);
        item.setValue(new Entry(entry.mark, entry.fullShareNanos, entry.sendsLeft - 1));
      }
    }
    return result;
  }

  /**
   * Returns all marks.
   *
   * @return a list ordered by domain
   */
  public List<DomainMark> all() {
    return marks.values().stream().map(Entry::mark).toList();
  }

  /**
   * Returns a digest of all marks, by which nodes find out cheaply whether their marks differ.
   *
   * @return 0 if there are none
   */
  public int digest() {
    return marks.isEmpty() ? 0 : all().hashCode();
  }

  /**
   * Merges two lists of marks.
   *
   * @param known a list
   * @param more marks to add
   * @return the merged list; {@code known} itself if the marks to add change nothing
   */
  public static List<DomainMark> union(List<DomainMark> known, Collection<DomainMark> more) {
    Map<String, DomainMark> result = new TreeMap<>();
    known.forEach(mark -> result.put(mark.domain(), mark));
    more.forEach(mark -> result.merge(mark.domain(), mark, DomainMarks::newer));
    List<DomainMark> merged = List.copyOf(result.values());
    return merged.equals(known) ? known : merged;
  }

  private static DomainMark newer(DomainMark one, DomainMark other) {
    return Optional.of(other).filter(mark -> mark.isNewerThan(one)).orElse(one);
  }

  /** Immutable admitted shares of all domains. */
  public static final class Shares {
    private static final Shares FULL = new Shares(Map.of());

    private final Map<String, Entry> marks;

    private Shares(Map<String, Entry> marks) {
      this.marks = marks;
    }

    /**
     * Returns the share of one domain.
     *
     * @param domain the domain
     * @param nowNanos monotonic time in nanoseconds
     * @return from 0 to 1
     */
    public double shareOf(FailureDomain domain, long nowNanos) {
      Entry entry = marks.get(domain.name());
      return entry == null ? 1 : entry.share(nowNanos);
    }

    /**
     * Tells whether a domain is leaving.
     *
     * @param domain the domain
     * @return true if it gets no new work
     */
    public boolean isLeaving(FailureDomain domain) {
      Entry entry = marks.get(domain.name());
      return entry != null && entry.mark.leaving();
    }
  }

  private record Entry(DomainMark mark, long fullShareNanos, int sendsLeft) {
    double share(long nowNanos) {
      if (mark.leaving()) {
        return 0;
      }
      long remainingNanos = fullShareNanos - nowNanos;
      int step =
          RETURN_SHARES.length
              - (int) ((remainingNanos + RETURN_STEP_NANOS - 1) / RETURN_STEP_NANOS);
      return remainingNanos <= 0 ? 1 : RETURN_SHARES[Math.max(0, step)];
    }
  }
}
