package org.dandelionbeam.membership;

import static java.util.Objects.requireNonNull;

/**
 * Member that left the roster, but may still use cold slots or have requests running on an
 * upstream.
 *
 * @param member the member as it was last listed
 * @param reason why it left
 */
public record Departure(Member member, Reason reason) {

  /** Checks that no component is null. */
  public Departure {
    requireNonNull(member, "member");
    requireNonNull(reason, "reason");
  }

  /** Reason why a member left, ordered from the weakest evidence to the strongest. */
  public enum Reason {
    /** No message arrived from it for a long time; it may still run behind a network partition. */
    QUIET(true, true),
    /**
     * The platform's list shows that its VM is gone; requests that it sent may still run on
     * upstreams.
     */
    GONE(false, true),
    /** It finished its requests and left by itself. */
    RESIGNED(false, false);

    private final boolean mayHoldSlots;
    private final boolean mayHaveRequests;

    Reason(boolean mayHoldSlots, boolean mayHaveRequests) {
      this.mayHoldSlots = mayHoldSlots;
      this.mayHaveRequests = mayHaveRequests;
    }

    /**
     * Tells whether the member may still start requests on its cold slots.
     *
     * @return true if its slots stay reserved until it confirms a roster without it
     */
    public boolean mayHoldSlots() {
      return mayHoldSlots;
    }

    /**
     * Tells whether requests that the member sent may still run on an upstream.
     *
     * @return false only if all of them had ended before it left
     */
    public boolean mayHaveRequests() {
      return mayHaveRequests;
    }
  }
}
