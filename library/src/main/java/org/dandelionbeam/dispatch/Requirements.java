package org.dandelionbeam.dispatch;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import java.util.Set;
import org.dandelionbeam.base.ModelId;
import org.dandelionbeam.base.UpstreamId;
import org.dandelionbeam.config.Upstream;

/**
 * Requirements of a ticket on the upstreams of its service; tickets with equal requirements can use
 * the same upstreams.
 *
 * @param model model that the upstream must serve, empty for plain services
 * @param avoid upstreams that must not be used
 */
public record Requirements(Optional<ModelId> model, Set<UpstreamId> avoid) {

  /** Copies the set. */
  public Requirements {
    requireNonNull(model, "model");
    avoid = Set.copyOf(avoid);
  }

  /**
   * Returns the requirements of a ticket without upstreams to avoid.
   *
   * @param model the model, empty for plain services
   * @return the requirements
   */
  public static Requirements of(Optional<ModelId> model) {
    return new Requirements(model, Set.of());
  }

  /**
   * Tells whether an upstream of the service meets these requirements.
   *
   * @param upstream an upstream of the ticket's service
   * @return true if it serves the model and is not to be avoided
   */
  public boolean areMetBy(Upstream upstream) {
    boolean servesModel = model.isEmpty() || upstream.models().contains(model.get());
    return servesModel && !avoid.contains(upstream.id());
  }
}
