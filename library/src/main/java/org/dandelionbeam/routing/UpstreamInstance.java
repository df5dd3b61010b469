package org.dandelionbeam.routing;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import org.dandelionbeam.base.FailureDomain;

/**
 * Description of an upstream process, as it registered itself.
 *
 * @param id identifier of the upstream, usually a new one after each start
 * @param incarnation number that grows with each start under the same id
 * @param service service that the upstream belongs to
 * @param endpoint address that it listens on
 * @param domain failure domain that it runs in
 * @param slots maximum number of concurrent requests
 * @param draining whether it shuts down and takes no new requests
 * @param coldRemaining how much longer it is cold
 * @param version version of its software
 */
public record UpstreamInstance(
    InstanceId id,
    long incarnation,
    ServiceName service,
    Endpoint endpoint,
    FailureDomain domain,
    int slots,
    boolean draining,
    Duration coldRemaining,
    SoftwareVersion version) {
  private static final int HASH_FACTOR = 31;

  /** Checks the values. */
  public UpstreamInstance {
    requireNonNull(id, "id");
    requireNonNull(service, "service");
    requireNonNull(endpoint, "endpoint");
    requireNonNull(domain, "domain");
    requireNonNull(coldRemaining, "coldRemaining");
    requireNonNull(version, "version");
  }

  /**
   * Returns the key that identifies this start of the upstream among routers.
   *
   * @return id and incarnation, separated by a slash
   */
  public String key() {
    return id.text() + "/" + incarnation;
  }

  /**
   * Returns the number by which messages between routers name this start of the upstream. Two
   * upstreams may share it, so that whoever looks one up must also compare the service.
   *
   * @return hash of id and incarnation
   */
  public int number() {
    return HASH_FACTOR * id.text().hashCode() + Long.hashCode(incarnation);
  }
}
