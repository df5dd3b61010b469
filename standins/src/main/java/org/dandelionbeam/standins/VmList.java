package org.dandelionbeam.standins;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** List of VMs that shows each change only after a lag; not thread-safe. */
final class VmList {
  private final long lagNanos;
  private final Deque<Change> pending = new ArrayDeque<>();
  private final Map<String, Vm> listed = new TreeMap<>();

  VmList(long lagNanos) {
    this.lagNanos = lagNanos;
  }

  /** Records a change that the list shows after the lag. */
  void change(Vm vm, long nowNanos) {
    pending.addLast(new Change(vm, nowNanos + lagNanos));
  }

  /** Returns the VMs that the list shows at a time. */
  Collection<Vm> visibleAt(long nowNanos) {
    while (!pending.isEmpty() && pending.peekFirst().visibleAtNanos - nowNanos <= 0) {
      apply(pending.removeFirst().vm);
    }
    return List.copyOf(listed.values());
  }

  private void apply(Vm vm) {
    if (vm.state() == VmState.GONE) {
      listed.remove(vm.name());
    } else {
      listed.put(vm.name(), vm);
    }
  }

  private record Change(Vm vm, long visibleAtNanos) {}
}
