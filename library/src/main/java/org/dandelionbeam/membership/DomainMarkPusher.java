package org.dandelionbeam.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import org.dandelionbeam.base.NodeId;

/**
 * Pushes new marks of failure domains to random members for a few ticks. Probes and loan messages
 * carry marks too, but reach few members while many are suspected.
 */
final class DomainMarkPusher {
  private static final int FANOUT = 3;
  private static final int ROUNDS = 4;

  private final NodeId self;
  private final RandomGenerator random;
  private int roundsLeft;

  DomainMarkPusher(NodeId self, RandomGenerator random) {
    this.self = self;
    this.random = random;
  }

  /** Starts pushing again, because this node has a mark that others may lack. */
  void marksChanged() {
    roundsLeft = ROUNDS;
  }

  /** Returns the messages of one tick; suspected members are receivers too. */
  List<OutgoingMessage> tick(List<Member> members, List<DomainMark> marks) {
    if (roundsLeft == 0) {
      return List.of();
    }
    roundsLeft--;
    List<NodeId> others = new ArrayList<>();
    members.stream().map(Member::id).filter(id -> !id.equals(self)).forEach(others::add);
    List<OutgoingMessage> out = new ArrayList<>();
    for (int i = 0; i < FANOUT && !others.isEmpty(); i++) {
      NodeId to = others.remove(random.nextInt(others.size()));
      out.add(new OutgoingMessage(to, new DomainMarksMessage(marks)));
    }
    return out;
  }
}
