package org.dandelionbeam.upstream;

import java.util.List;
import java.util.Set;
import org.dandelionbeam.base.FailureDomain;
import org.dandelionbeam.base.ModelId;
import org.dandelionbeam.base.ServiceId;
import org.dandelionbeam.base.UpstreamId;
import org.dandelionbeam.config.Configuration;
import org.dandelionbeam.config.CostUnit;
import org.dandelionbeam.config.Service;
import org.dandelionbeam.config.ServiceType;
import org.dandelionbeam.config.Upstream;

/** Test configurations with engines: service 1 is a model service, service 2 a plain service. */
public final class TestEngines {
  private TestEngines() {}

  /** Returns engines 1 to {@code ports.length} of service 1 with models 1 and 2. */
  public static Configuration of(boolean checksOrders, int... ports) {
    return of(checksOrders, Set.of(ModelId.of(1), ModelId.of(2)), ports);
  }

  /** Returns engines 1 to {@code ports.length} of service 1 with the given models. */
  public static Configuration of(boolean checksOrders, Set<ModelId> models, int... ports) {
    Configuration.Builder builder =
        Configuration.builder()
            .service(service(1, ServiceType.MODEL, CostUnit.TOKENS))
            .service(service(2, ServiceType.PLAIN, CostUnit.CALLS))
            .model("carol", ModelId.of(1))
            .model("camp", ModelId.of(2));
    for (int i = 0; i < ports.length; i++) {
      builder.upstream(upstream(i + 1, 1, ports[i], models, checksOrders));
    }
    return builder.upstream(upstream(1_000, 2, 1, Set.of(), false)).build();
  }

  private static Service service(int id, ServiceType type, CostUnit unit) {
    return new Service(ServiceId.of(id), "s" + id, type, unit, List.of());
  }

  private static Upstream upstream(
      int id, int service, int port, Set<ModelId> models, boolean checksOrders) {
    return new Upstream(
        UpstreamId.of(id),
        "u" + id,
        ServiceId.of(service),
        FailureDomain.of("d"),
        "127.0.0.1",
        port,
        models,
        8,
        2,
        checksOrders);
  }
}
