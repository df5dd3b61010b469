package org.dandelionbeam.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.dandelionbeam.base.NodeId;
import org.dandelionbeam.membership.Gossip.MemberUpdate;

/**
 * Updates of members that still have to be sent; each is sent a number of times that grows with the
 * logarithm of the fleet size.
 */
final class MemberUpdateQueue {
  private static final int MAX_RUMOURS_PER_MESSAGE = 4;
  private static final int MAX_WAITING = 256;
  private static final int SPREAD_FACTOR = 4;

  private final Map<NodeId, Entry> waiting = new LinkedHashMap<>();

  void add(NodeId node, FailureDetector.State state, long incarnation) {
    if (waiting.size() >= MAX_WAITING && !waiting.containsKey(node)) {
      waiting.remove(waiting.keySet().iterator().next());
    }
    waiting.put(node, new Entry(new MemberUpdate(node.name(), state.ordinal(), incarnation), 0));
  }

  void retain(Set<NodeId> members, NodeId self) {
    waiting.keySet().removeIf(id -> !members.contains(id) && !id.equals(self));
  }

  List<MemberUpdate> nextUpdates(int fleetSize) {
    if (waiting.isEmpty()) {
      return List.of();
    }
    int maxSends = SPREAD_FACTOR * (Integer.SIZE - Integer.numberOfLeadingZeros(fleetSize));
    List<Map.Entry<NodeId, Entry>> leastSentFirst = new ArrayList<>(waiting.entrySet());
    leastSentFirst.sort(Comparator.comparingInt(entry -> entry.getValue().sent));
    List<MemberUpdate> updates = new ArrayList<>();
    for (Map.Entry<NodeId, Entry> entry :
        leastSentFirst.subList(0, Math.min(MAX_RUMOURS_PER_MESSAGE, leastSentFirst.size()))) {
      Entry sent = new Entry(entry.getValue().update, entry.getValue().sent + 1);
      updates.add(sent.update);
      if (sent.sent >= maxSends) {
        waiting.remove(entry.getKey());
      } else {
        waiting.put(entry.getKey(), sent);
      }
    }
    return updates;
  }

  private record Entry(MemberUpdate update, int sent) {}
}
