package org.dandelionbeam.dispatch;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.apache.commons.codec.digest.MurmurHash3;
import org.dandelionbeam.base.ModelId;
import org.dandelionbeam.base.NodeId;
import org.dandelionbeam.base.ServiceId;
import org.dandelionbeam.base.UpstreamId;
import org.dandelionbeam.config.Configuration;
import org.dandelionbeam.config.Upstream;
import org.dandelionbeam.membership.Ownership;

/**
 * Upstreams that an entry sends tickets for, with their owners, by service and model.
 *
 * <p>An entry sends tickets to few owners: itself and those that rank first by a hash of both node
 * names. So each entry needs few connections, and the tickets of the fleet spread over all owners.
 */
final class TargetTable {
  private static final int MAX_OWNERS = 8;

  private final Ownership ownership;
  private final Map<Key, List<Target>> targets = new HashMap<>();
  private Configuration configuration;

  TargetTable(Configuration configuration, Ownership ownership) {
    this.configuration = configuration;
    this.ownership = ownership;
  }

  void configurationChanged(Configuration value) {
    configuration = value;
    targets.clear();
  }

  void ownershipChanged() {
    targets.clear();
  }

  /**
   * Returns the upstreams that meet the requirements, of the owners that this entry sends tickets
   * to.
   */
  List<Target> targets(ServiceId service, Requirements requirements) {
    List<Target> all =
        targets.computeIfAbsent(
            new Key(service, requirements.model()),
            key -> findTargets(service, Requirements.of(requirements.model())));
    if (requirements.avoid().isEmpty()) {
      return all;
    }
    return all.stream().filter(target -> requirements.areMetBy(target.upstream())).toList();
  }

  /**
   * Tells whether any upstream that meets the requirements accepts new work, whichever node owns
   * it.
   */
  boolean isServed(ServiceId service, Requirements requirements) {
    boolean servedByOwners =
        targets(service, requirements).stream().anyMatch(target -> accepts(target.upstream().id()));
    return servedByOwners
        || configuration.upstreams().stream()
            .filter(
                upstream -> upstream.service().equals(service) && requirements.areMetBy(upstream))
            .anyMatch(upstream -> accepts(upstream.id()));
  }

  boolean accepts(UpstreamId upstream) {
    return ownership.acceptsNewWork(upstream);
  }

  private List<Target> findTargets(ServiceId service, Requirements requirements) {
    List<Target> found = new ArrayList<>();
    for (Upstream upstream : configuration.upstreams()) {
      if (upstream.service().equals(service) && requirements.areMetBy(upstream)) {
        Optional<NodeId> owner = ownership.ownerOf(upstream.id());
        owner.ifPresent(node -> found.add(new Target(upstream, node)));
      }
    }
    Set<NodeId> owners = selectOwners(found);
    return found.stream().filter(target -> owners.contains(target.owner())).toList();
  }

  private Set<NodeId> selectOwners(List<Target> found) {
    NodeId self = ownership.self();
    Comparator<NodeId> selfFirst = Comparator.comparing(node -> !node.equals(self));
    Set<NodeId> owners = new LinkedHashSet<>();
    found.stream()
        .map(Target::owner)
        .distinct()
        .sorted(selfFirst.thenComparing(node -> rank(self, node)).thenComparing(node -> node))
        .limit(MAX_OWNERS)
        .forEach(owners::add);
    return owners;
  }

  private static int rank(NodeId self, NodeId owner) {
    byte[] names = (self.name() + '/' + owner.name()).getBytes(StandardCharsets.UTF_8);
    return MurmurHash3.hash32x86(names);
  }

  private record Key(ServiceId service, Optional<ModelId> model) {}
}
