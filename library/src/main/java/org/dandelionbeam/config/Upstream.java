package org.dandelionbeam.config;

import static java.util.Objects.requireNonNull;

import java.util.Set;
import org.dandelionbeam.base.FailureDomain;
import org.dandelionbeam.base.ModelId;
import org.dandelionbeam.base.ServiceId;
import org.dandelionbeam.base.UpstreamId;

/**
 * Engine or plain HTTP server that requests are sent to.
 *
 * @param id numeric id of the upstream
 * @param name name of the upstream
 * @param service id of the service that it offers
 * @param domain failure domain that it runs in
 * @param host IP address
 * @param port TCP port
 * @param models ids of the models that it serves; empty for plain services
 * @param window maximum number of requests in flight while it is warm
 * @param coldLimit maximum number of requests in flight while it is cold
 * @param checksOrders whether it rejects orders that carry a stale fencing token
 */
public record Upstream(
    UpstreamId id,
    String name,
    ServiceId service,
    FailureDomain domain,
    String host,
    int port,
    Set<ModelId> models,
    int window,
    int coldLimit,
    boolean checksOrders) {

  /** Copies the set and checks the limits. */
  public Upstream {
    requireNonNull(id, "id");
    requireNonNull(name, "name");
    requireNonNull(service, "service");
    requireNonNull(domain, "domain");
    requireNonNull(host, "host");
    models = Set.copyOf(models);
    if (window < 1 || coldLimit < 1 || coldLimit > window) {
      throw new IllegalArgumentException("expected 1 <= coldLimit <= window for upstream " + name);
    }
  }
}
