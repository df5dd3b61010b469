package org.dandelionbeam.config;

import static java.util.Objects.requireNonNull;

import java.util.List;
import org.dandelionbeam.base.TeamId;

/**
 * Team of callers that shares the fleet's capacity with other teams.
 *
 * @param id numeric id of the team
 * @param name name of the team
 * @param weight share of capacity relative to other teams, greater than 0
 * @param keys salted hashes of the team's API keys
 * @param maxQueued maximum number of requests queued at one owner of upstreams
 * @param maxOpen maximum number of concurrent requests at one router
 */
public record Team(
    TeamId id, String name, double weight, List<KeyHash> keys, int maxQueued, int maxOpen) {

  /** Copies the list and checks the weight. */
  public Team {
    requireNonNull(id, "id");
    requireNonNull(name, "name");
    keys = List.copyOf(keys);
    if (!(weight > 0)) {
      throw new IllegalArgumentException("team weight must be greater than 0, found " + weight);
    }
  }
}
