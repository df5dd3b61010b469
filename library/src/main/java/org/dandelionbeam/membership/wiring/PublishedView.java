package org.dandelionbeam.membership.wiring;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.dandelionbeam.base.NodeId;
import org.dandelionbeam.base.UpstreamId;
import org.dandelionbeam.membership.MembershipView;
import org.dandelionbeam.membership.Roster;

/** View that other threads read, with the state that is shown to operators only. */
record PublishedView(MembershipView view, boolean keeper, boolean cutOff) {

  boolean isSameAs(PublishedView other) {
    return view.roster().revision() == other.view.roster().revision()
        && view.configuration() == other.view.configuration()
        && view.unreachable().equals(other.view.unreachable())
        && view.leaving().equals(other.view.leaving())
        && view.vms().equals(other.view.vms())
        && view.marks().equals(other.view.marks())
        && owners().equals(other.owners())
        && cutOff == other.cutOff;
  }

  Map<UpstreamId, NodeId> owners() {
    Map<UpstreamId, NodeId> owners = new TreeMap<>();
    view.roles().forEach((id, role) -> role.owner().ifPresent(owner -> owners.put(id, owner)));
    return owners;
  }

  List<Integer> owned() {
    return view.roles().entrySet().stream()
        .filter(entry -> entry.getValue().isOwned())
        .map(entry -> entry.getKey().number())
        .sorted()
        .toList();
  }

  MembershipStatus status(NodeId self) {
    Roster roster = view.roster();
    List<NodeId> departed =
        roster.departures().stream().map(departure -> departure.member().id()).toList();
    return new MembershipStatus(
        self.name(),
        roster.revision(),
        roster.isSettled(),
        keeper,
        cutOff,
        roster.members().stream().map(member -> member.id().name()).toList(),
        names(view.unreachable()),
        names(view.leaving()),
        names(Set.copyOf(departed)),
        owned(),
        view.marks());
  }

  private static List<String> names(Set<NodeId> nodes) {
    return nodes.stream().map(NodeId::name).sorted().toList();
  }
}
