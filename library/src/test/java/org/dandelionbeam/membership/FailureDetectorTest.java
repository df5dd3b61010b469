package org.dandelionbeam.membership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.dandelionbeam.base.FailureDomain;
import org.dandelionbeam.base.NodeId;
import org.dandelionbeam.membership.FailureDetector.State;
import org.dandelionbeam.membership.Gossip.MemberUpdate;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** How a node refutes suspicions, and how often it probes unresponsive members. */
public class FailureDetectorTest {
  private static final NodeId SELF = NodeId.of("n1");
  private static final long INCARNATION = 4;

  private static Member member(int number) {
    String host = "127.0.0." + number;
    return new Member(NodeId.of("n" + number), host, 1, 2, FailureDomain.of("d"), 1, false);
  }

  private static Probe probe(int sequence, List<MemberUpdate> suspicion) {
    return new Probe(1, sequence, 0, new Gossip(suspicion, List.of()));
  }

  private static IndirectProbeRequest indirectProbe(int sequence, String target) {
    return new IndirectProbeRequest(1, sequence, target);
  }

  @DataProvider
  public static Object[][] suspicions() {
    return new Object[][] {
      {State.SUSPECT, 4, 5}, {State.DEAD, 4, 5}, {State.SUSPECT, 3, 4}, {State.DEAD, 3, 4}
    };
  }

  /**
   * Without the announcement, a node that missed the newest incarnation would suspect an older one
   * for ever.
   */
  @Test(dataProvider = "suspicions")
  public void suspicionIsRefutedAlsoOfAnOlderIncarnation(
      State state, long suspected, long announced) {
    FailureDetector detector = new FailureDetector(SELF, INCARNATION, new SplittableRandom(1), 0);

    detector.onUpdate(new MemberUpdate(SELF.name(), state.ordinal(), suspected), 0);

    assertEquals(
        detector.nextUpdates(),
        List.of(new MemberUpdate(SELF.name(), State.ALIVE.ordinal(), announced)));
  }

  @Test
  public void nothingIsAnnouncedWhenNobodySuspects() {
    FailureDetector detector = new FailureDetector(SELF, INCARNATION, new SplittableRandom(1), 0);

    detector.onUpdate(new MemberUpdate(SELF.name(), State.ALIVE.ordinal(), INCARNATION), 0);

    assertEquals(detector.nextUpdates(), List.of());
  }

  /**
   * A node with many failed probes probes rarely. If that delayed the probes of unresponsive
   * members, a healed connection would be noticed late.
   */
  @Test
  public void anUnresponsiveMemberIsProbedEverySecond() {
    FailureDetector detector = new FailureDetector(SELF, INCARNATION, new SplittableRandom(1), 0);
    List<Member> members =
        IntStream.range(2, 8).mapToObj(FailureDetectorTest::member).collect(Collectors.toList());
    detector.updateMembers(members, 0);
    NodeId unresponsive = members.get(0).id();
    detector.onUpdate(new MemberUpdate(unresponsive.name(), State.DEAD.ordinal(), 1), 0);

    int probes = 0;
    for (int ms = 250; ms <= 10_000; ms += 250) {
      long now = ms * 1_000_000L;
      members.stream().skip(1).forEach(member -> detector.messageReceived(member.id(), now));
      probes +=
          (int)
              detector
                  .tick(FailureDetectorTest::probe, FailureDetectorTest::indirectProbe, now)
                  .stream()
                  .filter(sent -> sent.to().equals(unresponsive) && sent.message() instanceof Probe)
                  .count();
    }

    assertTrue(probes >= 9, "probes of the unresponsive member in ten seconds: " + probes);
  }
}
