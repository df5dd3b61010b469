package org.dandelionbeam.membership;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.apache.commons.codec.digest.MurmurHash3;
import org.dandelionbeam.base.FailureDomain;
import org.dandelionbeam.base.NodeId;

/** Weighted rendezvous hashing: a key is assigned to the nodes that score highest for it. */
public final class Rendezvous {
  private static final double HASH_RANGE = 0x1p32;
  private static final Comparator<Scored> BEST_FIRST =
      Comparator.comparingDouble(Scored::score).reversed().thenComparing(Scored::id);

  private final List<Entry> entries;

  private Rendezvous(List<Entry> entries) {
    this.entries = entries;
  }

  /**
   * Returns a hashing over members of equal weight.
   *
   * @param members the members
   * @return the hashing
   */
  public static Rendezvous of(Collection<Member> members) {
    return new Rendezvous(members.stream().map(Entry::of).toList());
  }

  /**
   * Hashes the name of a key.
   *
   * @param name the name
   * @return a key for {@link #first} and {@link #candidates}
   */
  public static long key(String name) {
    return MurmurHash3.hash128x64(name.getBytes(StandardCharsets.UTF_8))[0];
  }

  /**
   * Returns the score of a node for a key.
   *
   * @param key the key
   * @param nodeKey hash of the node's name
   * @param weight weight of the node, above 0; its share of the keys is proportional to it
   * @return a positive number; the highest wins
   */
  public static double score(long key, long nodeKey, double weight) {
    double hash = Integer.toUnsignedLong(MurmurHash3.hash32(key, nodeKey));
    return -weight / Math.log((hash + 0.5) / HASH_RANGE);
  }

  /**
   * Returns the node that scores highest.
   *
   * @param key the key
   * @return empty if there are no members
   */
  public Optional<NodeId> first(long key) {
    return entries.stream().map(entry -> entry.scored(key)).min(BEST_FIRST).map(Scored::id);
  }

  /**
   * Returns the best nodes for a key, spread over failure domains: first the best of each domain,
   * then the second best of each, each round by score.
   *
   * @param key the key
   * @param count maximum number of nodes to return
   * @return a list in order of rank, shorter if there are fewer members
   */
  public List<NodeId> candidates(long key, int count) {
    Map<FailureDomain, List<Scored>> byDomain = new TreeMap<>();
    for (Entry entry : entries) {
      insert(
          byDomain.computeIfAbsent(entry.domain, d -> new ArrayList<>()), entry.scored(key), count);
    }
    List<NodeId> result = new ArrayList<>(count);
    for (int round = 0; round < count && result.size() < count; round++) {
      int rank = round;
      byDomain.values().stream()
          .filter(best -> best.size() > rank)
          .map(best -> best.get(rank))
          .sorted(BEST_FIRST)
          .limit(count - result.size())
          .forEach(scored -> result.add(scored.id));
    }
    return result;
  }

  private static void insert(List<Scored> best, Scored scored, int count) {
    int index = best.size();
    while (index > 0 && BEST_FIRST.compare(scored, best.get(index - 1)) < 0) {
      index--;
    }
    if (index < count) {
      best.add(index, scored);
      if (best.size() > count) {
        best.remove(count);
      }
    }
  }

  private record Entry(NodeId id, FailureDomain domain, long hash) {
    static Entry of(Member member) {
      return new Entry(member.id(), member.domain(), key(member.id().name()));
    }

    Scored scored(long key) {
      return new Scored(id, score(key, hash, 1));
    }
  }

  private record Scored(NodeId id, double score) {}
}
