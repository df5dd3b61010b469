package org.dandelionbeam.dispatch;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import java.util.Set;
import org.dandelionbeam.base.ModelId;
import org.dandelionbeam.base.UpstreamId;
import org.dandelionbeam.config.Upstream;

/**
 * What a ticket demands of an upstream of its service; tickets of one shape can use the same
 * upstreams.
 *
 * @param model the model that the upstream must hold, empty for plain services
 * @param avoid upstreams that must not be used
 */
public record Requirements(Optional<ModelId> model, Set<UpstreamId> avoid) {

  /** Copies the set. */
  public Requirements {
    requireNonNull(model, "model");
    avoid = Set.copyOf(avoid);
  }

  /**
   * Returns the shape of a ticket without upstreams to avoid.
   *
   * @param model the model, empty for plain services
   * @return the shape
   */
  public static Requirements of(Optional<ModelId> model) {
    return new Requirements(model, Set.of());
  }

  /**
   * Tells whether an upstream of the service can take tickets of this shape.
   *
   * @param upstream an upstream of the ticket's service
   * @return true if it holds the model and is not avoided
   */
  public boolean areMetBy(Upstream upstream) {
    boolean holdsModel = model.isEmpty() || upstream.models().contains(model.get());
    return holdsModel && !avoid.contains(upstream.id());
  }
}
