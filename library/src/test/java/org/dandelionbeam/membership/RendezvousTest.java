package org.dandelionbeam.membership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.dandelionbeam.base.FailureDomain;
import org.dandelionbeam.base.NodeId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * How rendezvous hashing spreads keys over nodes and failure domains, and which keys move when a
 * node is removed.
 */
public class RendezvousTest {
  private static final int KEYS = 2_000;

  static Member member(int number, int domains) {
    FailureDomain domain = FailureDomain.of("d" + number % domains);
    return new Member(NodeId.of("n" + number), "127.0.0.1", 1, 2, domain, 1, false);
  }

  static List<Member> members(int count, int domains) {
    return IntStream.range(0, count).mapToObj(i -> member(i, domains)).toList();
  }

  @DataProvider
  public Object[][] fleets() {
    return new Object[][] {{1, 1}, {2, 3}, {8, 3}, {32, 3}, {128, 7}};
  }

  @Test(dataProvider = "fleets")
  public void candidatesAreSpreadOverDomains(int count, int domains) {
    Rendezvous hashing = Rendezvous.of(members(count, domains));
    for (int key = 0; key < KEYS; key++) {
      List<NodeId> ranked = hashing.candidates(Rendezvous.key("k" + key), 8);
      assertEquals(ranked.size(), Math.min(8, count));
      int first = Math.min(domains, ranked.size());
      long spread =
          ranked.stream().limit(first).map(node -> numberOf(node) % domains).distinct().count();
      assertEquals(spread, Math.min(domains, ranked.size()));
    }
  }

  private static int numberOf(NodeId node) {
    return Integer.parseInt(node.name().substring(1));
  }

  @Test(dataProvider = "fleets")
  public void onlyKeysOfTheRemovedNodeMove(int count, int domains) {
    List<Member> members = new ArrayList<>(members(count, domains));
    Rendezvous before = Rendezvous.of(members);
    members.remove(0);
    Rendezvous after = Rendezvous.of(members);
    for (int key = 0; key < KEYS; key++) {
      long hash = Rendezvous.key("team/" + key);
      NodeId first = before.first(hash).orElseThrow();
      if (!first.equals(NodeId.of("n0"))) {
        assertEquals(after.first(hash).orElseThrow(), first);
      }
      List<NodeId> ranked = new ArrayList<>(before.candidates(hash, count));
      ranked.remove(NodeId.of("n0"));
      List<NodeId> remaining = after.candidates(hash, count);
      assertTrue(remaining.containsAll(ranked) && remaining.size() == ranked.size());
    }
  }

  @Test
  public void keysFollowWeights() {
    Map<Integer, Integer> wins = new HashMap<>();
    for (int key = 0; key < 20_000; key++) {
      double light = Rendezvous.score(Rendezvous.key("k" + key), Rendezvous.key("light"), 1);
      double heavy = Rendezvous.score(Rendezvous.key("k" + key), Rendezvous.key("heavy"), 3);
      wins.merge(light > heavy ? 1 : 3, 1, Integer::sum);
    }
    assertEquals(wins.get(3) / 20_000.0, 0.75, 0.02);
  }

  @Test
  public void partsAddUpToTheTotal() {
    for (int total = 1; total < 40; total++) {
      for (int parts = 1; parts <= 8; parts++) {
        int all = total;
        int count = parts;
        int sum = IntStream.range(0, parts).map(rank -> Assignments.part(all, count, rank)).sum();
        assertEquals(sum, total);
      }
    }
  }
}
