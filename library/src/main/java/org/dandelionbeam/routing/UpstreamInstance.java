package org.dandelionbeam.routing;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import org.dandelionbeam.base.FailureDomain;

/**
 * What an upstream says of itself.
 *
 * @param id name of this upstream; another start mostly brings another
 * @param incarnation grows with each start under the same id
 * @param service service that it belongs to
 * @param endpoint address that it serves at
 * @param domain failure domain that it runs in
 * @param slots requests that it runs at once
 * @param draining whether it is about to leave
 * @param coldRemaining how much longer it stays cold
 */
public record UpstreamInstance(
    InstanceId id,
    long incarnation,
    ServiceName service,
    Endpoint endpoint,
    FailureDomain domain,
    int slots,
    boolean draining,
    Duration coldRemaining) {

  /** Checks the values. */
  public UpstreamInstance {
    requireNonNull(id, "id");
    requireNonNull(service, "service");
    requireNonNull(endpoint, "endpoint");
    requireNonNull(domain, "domain");
    requireNonNull(coldRemaining, "coldRemaining");
  }

  /**
   * Returns the key under which peers know this start of the upstream.
   *
   * @return id and incarnation in one text
   */
  public String key() {
    return id.text() + "/" + incarnation;
  }
}
