package org.dandelionbeam.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Predicate;
import org.dandelionbeam.base.NodeId;

/** Slots in use at one owner, by ticket key and by the time of their next reminder. */
final class HeldSlots {
  private final Map<TicketKey, HeldSlot> slots = new HashMap<>();
  private final TreeSet<HeldSlot> byDue = new TreeSet<>();

  void add(HeldSlot slot) {
    slots.put(slot.ticket.key(), slot);
    byDue.add(slot);
  }

  void remove(HeldSlot slot) {
    slots.remove(slot.ticket.key());
    byDue.remove(slot);
  }

  Optional<HeldSlot> find(TicketKey key) {
    return Optional.ofNullable(slots.get(key));
  }

  void scheduleReminder(HeldSlot slot, long nowNanos) {
    byDue.remove(slot);
    slot.scheduleReminder(nowNanos);
    byDue.add(slot);
  }

  List<HeldSlot> due(long nowNanos) {
    List<HeldSlot> due = new ArrayList<>();
    for (HeldSlot slot : byDue) {
      if (slot.dueNanos - nowNanos > 0) {
        break;
      }
      due.add(slot);
    }
    return due;
  }

  /** Marks the slots of lost entries as orphaned and returns them. */
  List<HeldSlot> markOrphaned(Predicate<NodeId> lost) {
    List<HeldSlot> marked = new ArrayList<>();
    for (HeldSlot slot : slots.values()) {
      if (lost.test(slot.ticket.key().entry())) {
        slot.orphaned = true;
        marked.add(slot);
      }
    }
    return marked;
  }
}
