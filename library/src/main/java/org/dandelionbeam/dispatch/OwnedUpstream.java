package org.dandelionbeam.dispatch;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.dandelionbeam.config.Upstream;
import org.dandelionbeam.membership.Ownership;
import org.dandelionbeam.membership.Slots;
import org.dandelionbeam.membership.WindowState;

/**
 * Admission of attempts to one upstream that this node owns, or owned when it granted attempts that
 * are still in flight.
 */
final class OwnedUpstream {
  private static final long TAKEOVER_WAIT_NANOS = Duration.ofSeconds(1).toNanos();

  private final Map<TicketKey, HeldSlot> held = new HashMap<>();
  private final InFlightCounts inFlight;
  private final Ownership ownership;
  private Upstream upstream;
  private Window window;
  private boolean owned;
  private boolean accepting;
  private long ownedNanos;
  private Optional<WindowState> lastPublished = Optional.empty();

  OwnedUpstream(Ownership ownership, InFlightCounts inFlight, Upstream upstream) {
    this.ownership = ownership;
    this.inFlight = inFlight;
    this.upstream = upstream;
  }

  void startOwning(Window fresh, long nowNanos) {
    window = fresh;
    owned = true;
    accepting = ownership.acceptsNewWork(upstream.id());
    ownedNanos = nowNanos;
    held.values().forEach(slot -> window.started(nowNanos));
  }

  void stopOwning() {
    owned = false;
    accepting = false;
  }

  /**
   * Counts an attempt as in flight if a slot is free after it was counted, see {@link
   * InFlightCounts}.
   */
  boolean reserve(long nowNanos) {
    inFlight.started(upstream.id());
    if (freeSlots(nowNanos) > 0) {
      return true;
    }
    inFlight.ended(upstream.id());
    return false;
  }

  /** Adds an attempt that {@link #reserve} counted. */
  void hold(HeldSlot slot, long nowNanos) {
    held.put(slot.ticket.key(), slot);
    window.started(nowNanos);
  }

  /** Adds an attempt that an earlier owner granted, even if no slot is free. */
  void adopt(HeldSlot slot, long nowNanos) {
    inFlight.started(upstream.id());
    hold(slot, nowNanos);
  }

  void release(HeldSlot slot) {
    if (held.remove(slot.ticket.key()) != null) {
      inFlight.ended(upstream.id());
    }
  }

  int heldSlots() {
    return held.size();
  }

  void configure(Upstream value) {
    upstream = value;
  }

  Upstream upstream() {
    return upstream;
  }

  Window window() {
    return window;
  }

  boolean isOwned() {
    return owned;
  }

  boolean isCold() {
    return window.isCold();
  }

  boolean accepts(Requirements requirements) {
    return accepting && requirements.areMetBy(upstream);
  }

  /** Updates whether new work is accepted; returns true if that has changed. */
  boolean refreshAccepting() {
    boolean now = owned && ownership.acceptsNewWork(upstream.id());
    boolean changed = now != accepting;
    accepting = now;
    return changed;
  }

  /**
   * Returns how many more attempts may start now; negative while more are in flight than the limit,
   * for example after the limit was reduced.
   */
  int freeSlots(long nowNanos) {
    if (!accepting || isAwaitingTakeover(nowNanos)) {
      return 0;
    }
    int limit = Math.min(window.limit(), slots(nowNanos));
    double share = ownership.admittedShare(upstream.id(), nowNanos);
    return admitted(limit, share) - held.size();
  }

  /** Returns the part of a limit that a share admits, at least 1 if both are above 0. */
  private static int admitted(int limit, double share) {
    int least = share > 0 ? Math.min(1, limit) : 0;
    return Math.max(least, (int) Math.floor(limit * share));
  }

  WaitReason waitReason(long nowNanos) {
    if (isAwaitingTakeover(nowNanos)) {
      return WaitReason.TAKEOVER;
    }
    if (slots(nowNanos) == 0) {
      return WaitReason.NO_SLOTS;
    }
    return window.isCold() ? WaitReason.COLD : WaitReason.WINDOW_FULL;
  }

  double load() {
    return (double) held.size() / Math.max(1, window.limit());
  }

  void publishChange() {
    WindowState state = window.state();
    if (owned && !lastPublished.equals(Optional.of(state))) {
      lastPublished = Optional.of(state);
      ownership.publishWindow(upstream.id(), state);
    }
  }

  /**
   * Tells whether a cold upstream gets no new work yet, because entries may still have to report
   * their attempts in flight on it to this new owner.
   */
  private boolean isAwaitingTakeover(long nowNanos) {
    return window.isCold() && nowNanos - ownedNanos < TAKEOVER_WAIT_NANOS;
  }

  private int slots(long nowNanos) {
    Slots slots = ownership.slots(upstream.id(), nowNanos);
    return window.isCold() ? slots.cold() : slots.warm();
  }
}
