package org.dandelionbeam.config;

import static java.util.Objects.requireNonNull;

import org.dandelionbeam.base.FailureDomain;

/**
 * Failure domain and the region that it belongs to.
 *
 * @param name the failure domain
 * @param region name of the region
 */
public record Domain(FailureDomain name, String region) {

  /** Requires both components. */
  public Domain {
    requireNonNull(name, "name");
    requireNonNull(region, "region");
  }
}
