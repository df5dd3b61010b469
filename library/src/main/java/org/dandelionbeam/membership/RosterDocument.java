package org.dandelionbeam.membership;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.dandelionbeam.base.FailureDomain;
import org.dandelionbeam.base.NodeId;
import org.dandelionbeam.membership.Departure.Reason;
import org.dandelionbeam.peer.PeerMessage;

/**
 * Serialised form of a {@link Roster}, stored by the platform as JSON and sent to peers.
 *
 * @param revision revision of the platform's key
 * @param generation number of changes of the member list
 * @param members the members
 * @param joined names of the members that are not in the basis
 * @param departures nodes of the basis that are not members
 */
public record RosterDocument(
    long revision,
    long generation,
    List<MemberEntry> members,
    List<String> joined,
    List<DepartureEntry> departures)
    implements PeerMessage {

  /** Copies the lists. */
  public RosterDocument {
    members = List.copyOf(members);
    joined = List.copyOf(joined);
    departures = List.copyOf(departures);
  }

  /**
   * Returns the serialised form of a roster.
   *
   * @param roster the roster
   * @return the document
   */
  public static RosterDocument of(Roster roster) {
    return new RosterDocument(
        roster.revision(),
        roster.generation(),
        roster.members().stream().map(MemberEntry::of).toList(),
        roster.joined().stream().map(NodeId::name).sorted().toList(),
        roster.departures().stream().map(DepartureEntry::of).toList());
  }

  /**
   * Returns the roster that this document describes.
   *
   * @return the roster
   */
  public Roster roster() {
    Set<NodeId> names = joined.stream().map(NodeId::of).collect(Collectors.toSet());
    return Roster.of(
        revision,
        generation,
        members.stream().map(MemberEntry::member).toList(),
        names,
        departures.stream().map(DepartureEntry::departure).toList());
  }

  /**
   * Serialised form of a {@link Member}.
   *
   * @param id name of the node
   * @param host IP address of the node
   * @param peerPort TCP port of its peer listener
   * @param callerPort TCP port of its listener for callers
   * @param domain name of its failure domain
   * @param incarnation number of its process
   * @param leaving whether it takes no new work
   */
  public record MemberEntry(
      String id,
      String host,
      int peerPort,
      int callerPort,
      String domain,
      long incarnation,
      boolean leaving) {

    static MemberEntry of(Member member) {
      return new MemberEntry(
          member.id().name(),
          member.host(),
          member.peerPort(),
          member.callerPort(),
          member.domain().name(),
          member.incarnation(),
          member.leaving());
    }

    Member member() {
      FailureDomain failureDomain = FailureDomain.of(domain);
      return new Member(
          NodeId.of(id), host, peerPort, callerPort, failureDomain, incarnation, leaving);
    }
  }

  /**
   * Serialised form of a {@link Departure}.
   *
   * @param member the member
   * @param reason name of the {@link Departure.Reason}
   */
  public record DepartureEntry(MemberEntry member, String reason) {

    static DepartureEntry of(Departure departure) {
      return new DepartureEntry(MemberEntry.of(departure.member()), departure.reason().name());
    }

    Departure departure() {
      return new Departure(member.member(), Reason.valueOf(reason));
    }
  }
}
