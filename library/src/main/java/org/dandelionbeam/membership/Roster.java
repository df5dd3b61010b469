package org.dandelionbeam.membership;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.dandelionbeam.base.NodeId;
import org.dandelionbeam.membership.Departure.Reason;

/**
 * Immutable list of the fleet's members, with the changes since its basis.
 *
 * <p>The basis is the last member list that every possible holder of cold slots has confirmed. A
 * node uses the smaller of its shares by the basis and by the members, so nodes at different
 * revisions never use a cold slot twice. Settling the roster makes its members the new basis.
 */
public final class Roster {
  private static final Roster EMPTY = new Roster(0, 0, List.of(), Set.of(), List.of());

  private final long revision;
  private final long generation;
  private final List<Member> members;
  private final Set<NodeId> joined;
  private final List<Departure> departures;
  private final Map<NodeId, Member> byId = new HashMap<>();

  private Roster(
      long revision,
      long generation,
      List<Member> members,
      Set<NodeId> joined,
      List<Departure> departures) {
    this.revision = revision;
    this.generation = generation;
    this.members = members.stream().sorted(Comparator.comparing(Member::id)).toList();
    this.joined = Set.copyOf(joined);
    this.departures = List.copyOf(departures);
    this.members.forEach(member -> byId.put(member.id(), member));
  }

  /**
   * Returns the empty roster, which is in use before the first member joins.
   *
   * @return a roster of revision 0
   */
  public static Roster empty() {
    return EMPTY;
  }

  /**
   * Returns a roster with the given content.
   *
   * @param revision revision of the platform's key
   * @param generation number of changes of the member list
   * @param members the members
   * @param joined members that are not in the basis
   * @param departures nodes of the basis that are not members
   * @return the roster
   */
  public static Roster of(
      long revision,
      long generation,
      List<Member> members,
      Set<NodeId> joined,
      List<Departure> departures) {
    return new Roster(revision, generation, members, joined, departures);
  }

  /**
   * Returns the revision of the platform's key.
   *
   * @return the epoch, 0 if the roster was never stored
   */
  public long revision() {
    return revision;
  }

  /**
   * Returns the number of changes of the member list.
   *
   * @return the generation, which settling does not change
   */
  public long generation() {
    return generation;
  }

  /**
   * Returns the members, ordered by id.
   *
   * @return an immutable list
   */
  public List<Member> members() {
    return members;
  }

  /**
   * Returns the members that are not in the basis.
   *
   * @return an immutable set
   */
  public Set<NodeId> joined() {
    return joined;
  }

  /**
   * Returns the nodes of the basis that are not members.
   *
   * @return an immutable list
   */
  public List<Departure> departures() {
    return departures;
  }

  /**
   * Finds a member.
   *
   * @param id the node
   * @return empty if the node is no member
   */
  public Optional<Member> member(NodeId id) {
    return Optional.ofNullable(byId.get(id));
  }

  /**
   * Returns the members of the basis.
   *
   * @return the member list by which the cold slots were last divided
   */
  public List<Member> basis() {
    if (isSettled()) {
      return members;
    }
    List<Member> basis = new ArrayList<>();
    members.stream().filter(member -> !joined.contains(member.id())).forEach(basis::add);
    departures.forEach(departure -> basis.add(departure.member()));
    return basis;
  }

  /**
   * Tells whether the members are the basis.
   *
   * @return true if no member joined or left since the basis
   */
  public boolean isSettled() {
    return joined.isEmpty() && departures.isEmpty();
  }

  /**
   * Returns this roster with another revision.
   *
   * @param value revision of the platform's key
   * @return a roster with the same content and that epoch
   */
  public Roster atRevision(long value) {
    return new Roster(value, generation, members, joined, departures);
  }

  /**
   * Adds a node, or replaces the earlier process of the node.
   *
   * @param member the node
   * @return the changed roster, or this one if it lists the same process already
   */
  public Roster join(Member member) {
    requireNonNull(member, "member");
    Member listed = byId.get(member.id());
    if (listed == null) {
      return addMember(member);
    }
    if (listed.incarnation() == member.incarnation()) {
      return this;
    }
    if (listed.domain().equals(member.domain())) {
      return new Roster(revision, generation, with(member), joined, departures);
    }
    return leave(member.id(), Reason.GONE).addMember(member);
  }

  /**
   * Removes a node, or records a stronger reason for its earlier departure.
   *
   * @param id the node
   * @param reason why it leaves
   * @return the changed roster, or this one if nothing changes
   */
  public Roster leave(NodeId id, Reason reason) {
    requireNonNull(reason, "reason");
    Member listed = byId.get(id);
    if (listed == null) {
      return strengthenReason(id, reason);
    }
    Set<NodeId> stillJoined = new HashSet<>(joined);
    List<Departure> nowDeparted = new ArrayList<>(departures);
    if (!stillJoined.remove(id)) {
      nowDeparted.add(new Departure(listed, reason));
    }
    return new Roster(revision, generation + 1, without(id), stillJoined, nowDeparted);
  }

  /**
   * Marks the process of a node as leaving.
   *
   * @param id the node
   * @param incarnation number of its process
   * @return the changed roster, or this one if nothing changes
   */
  public Roster markLeaving(NodeId id, long incarnation) {
    Member listed = byId.get(id);
    if (listed == null || listed.leaving() || listed.incarnation() != incarnation) {
      return this;
    }
    return new Roster(revision, generation, with(listed.asLeaving()), joined, departures);
  }

  /**
   * Makes the members the basis, if the member list is still the confirmed one.
   *
   * @param confirmedGeneration the generation that all possible holders of cold slots confirmed
   * @return the settled roster, or this one if the list changed since or is settled already
   */
  public Roster settle(long confirmedGeneration) {
    if (generation != confirmedGeneration || isSettled()) {
      return this;
    }
    return new Roster(revision, generation, members, Set.of(), List.of());
  }

  private Roster addMember(Member member) {
    Set<NodeId> nowJoined = new HashSet<>(joined);
    List<Departure> stillDeparted = new ArrayList<>(departures);
    if (!stillDeparted.removeIf(departure -> isSameNodeAndDomain(departure.member(), member))) {
      nowJoined.add(member.id());
    }
    return new Roster(revision, generation + 1, with(member), nowJoined, stillDeparted);
  }

  private Roster strengthenReason(NodeId id, Reason reason) {
    List<Departure> stronger =
        departures.stream()
            .map(
                departure ->
                    isWeaker(departure, id, reason) ? withReason(departure, reason) : departure)
            .toList();
    return stronger.equals(departures)
        ? this
        : new Roster(revision, generation, members, joined, stronger);
  }

  private static boolean isWeaker(Departure departure, NodeId id, Reason reason) {
    return departure.member().id().equals(id) && departure.reason().compareTo(reason) < 0;
  }

  private static Departure withReason(Departure departure, Reason reason) {
    return new Departure(departure.member(), reason);
  }

  private static boolean isSameNodeAndDomain(Member one, Member other) {
    return one.id().equals(other.id()) && one.domain().equals(other.domain());
  }

  private List<Member> with(Member member) {
    List<Member> result = without(member.id());
    result.add(member);
    return result;
  }

  private List<Member> without(NodeId id) {
    List<Member> result = new ArrayList<>(members);
    result.removeIf(member -> member.id().equals(id));
    return result;
  }
}
