package org.dandelionbeam.upstream;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.dandelionbeam.base.NodeId;
import org.dandelionbeam.base.UpstreamId;
import org.dandelionbeam.config.Configuration;
import org.dandelionbeam.config.Service;
import org.dandelionbeam.config.ServiceType;
import org.dandelionbeam.config.Upstream;
import org.dandelionbeam.membership.Ownership;

/**
 * Keeps the list of the model engines that this node owns; the cost of a usual refresh does not
 * grow with the fleet.
 *
 * <p>A refresh checks all engines if the configuration, the membership epoch or the set of alive
 * members changed. Otherwise it checks only the owned engines and a bounded number of the others in
 * turn. Not thread-safe.
 */
public final class OwnedEngines {
  private static final int MAX_CHECKED_ENGINES = 32;

  private final Ownership ownership;
  private final Map<UpstreamId, Upstream> owned = new LinkedHashMap<>();
  private List<Upstream> engines = List.of();
  private Configuration configuration;
  private List<NodeId> aliveMembers = List.of();
  private long epoch;
  private int cursor;

  private OwnedEngines(Ownership ownership) {
    this.ownership = requireNonNull(ownership, "ownership");
  }

  /**
   * Returns a list that is empty until the first refresh.
   *
   * @param ownership tells which node owns an engine
   * @return the list
   */
  public static OwnedEngines of(Ownership ownership) {
    return new OwnedEngines(ownership);
  }

  /**
   * Updates the list.
   *
   * @param current the configuration in force
   * @return the engines that this node owns now
   */
  public List<Upstream> refresh(Configuration current) {
    boolean changed = configuration != current;
    if (changed) {
      configuration = requireNonNull(current, "current");
      engines = current.upstreams().stream().filter(this::isEngine).toList();
      owned.clear();
    }
    List<NodeId> members = ownership.aliveMembers();
    if (changed || epoch != ownership.epoch() || !aliveMembers.equals(members)) {
      epoch = ownership.epoch();
      aliveMembers = members;
      updateOwned(engines.size());
    } else {
      owned.values().removeIf(engine -> !isOwned(engine));
      updateOwned(Math.min(MAX_CHECKED_ENGINES, engines.size()));
    }
    return new ArrayList<>(owned.values());
  }

  private void updateOwned(int count) {
    for (int i = 0; i < count; i++) {
      cursor = (cursor + 1) % engines.size();
      Upstream engine = engines.get(cursor);
      if (isOwned(engine)) {
        owned.put(engine.id(), engine);
      } else {
        owned.remove(engine.id());
      }
    }
  }

  private boolean isOwned(Upstream engine) {
    return ownership.ownerOf(engine.id()).filter(ownership.self()::equals).isPresent();
  }

  private boolean isEngine(Upstream upstream) {
    return configuration
        .service(upstream.service())
        .map(Service::type)
        .filter(ServiceType.MODEL::equals)
        .isPresent();
  }
}
