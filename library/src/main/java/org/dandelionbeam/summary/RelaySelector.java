package org.dandelionbeam.summary;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.dandelionbeam.base.FailureDomain;
import org.dandelionbeam.membership.Rendezvous;
import org.dandelionbeam.routing.FleetMembers.Member;

/** Selects the relays of each failure domain by rendezvous hashing. */
final class RelaySelector {
  private static final String KEY_PREFIX = "relay/";

  private RelaySelector() {}

  /** Returns the members of a failure domain, the preferred relay first. */
  static List<Member> ranked(FailureDomain domain, Collection<Member> members) {
    long key = Rendezvous.key(KEY_PREFIX + domain.name());
    return members.stream()
        .filter(member -> member.domain().equals(domain))
        .map(member -> new Scored(member, score(key, member)))
        .sorted(Scored.HIGHEST_FIRST)
        .map(Scored::member)
        .toList();
  }

  private static double score(long key, Member member) {
    return Rendezvous.score(key, Rendezvous.key(member.name().text()), member.capacity());
  }

  /** A member with its score, which is computed once for all comparisons. */
  private record Scored(Member member, double score) {
    private static final Comparator<Scored> HIGHEST_FIRST =
        Comparator.comparingDouble(Scored::score)
            .reversed()
            .thenComparing(scored -> scored.member.name());
  }
}
