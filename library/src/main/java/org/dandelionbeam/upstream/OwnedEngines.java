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
 * Model engines that this node owns, found at a cost that does not grow with the fleet.
 *
 * <p>All engines are looked at when the configuration, the epoch or the living members changed;
 * else only the owned ones and a slice of the others. Not thread-safe.
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
   * Returns an empty set.
   *
   * @param ownership says who owns what
   * @return the set before its first refresh
   */
  public static OwnedEngines of(Ownership ownership) {
    return new OwnedEngines(ownership);
  }

  /**
   * Looks again at who owns what.
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
