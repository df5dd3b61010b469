package org.dandelionbeam.daemon.session;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.dandelionbeam.base.FailureDomain;
import org.dandelionbeam.base.ModelId;
import org.dandelionbeam.base.ServiceId;
import org.dandelionbeam.base.TeamId;
import org.dandelionbeam.base.UpstreamId;
import org.dandelionbeam.config.Configuration;
import org.dandelionbeam.config.CostUnit;
import org.dandelionbeam.config.KeyHash;
import org.dandelionbeam.config.Limits;
import org.dandelionbeam.config.RequestKind;
import org.dandelionbeam.config.Service;
import org.dandelionbeam.config.ServiceType;
import org.dandelionbeam.config.Team;
import org.dandelionbeam.config.Upstream;

/** Creates configurations with two teams, engines that serve one model, and ledgers. */
final class TestConfigurations {
  static final String KEY = "team-key";
  static final String OTHER_KEY = "other-key";
  static final String MODEL = "camp";
  private static final String OPERATOR_KEY = "operator-key";
  private static final String SALT = "5a17";
  private static final Limits LIMITS =
      new Limits(2_048, 1_024, 2, Duration.ofSeconds(5), Duration.ofMillis(300), 0.1);

  private TestConfigurations() {}

  static Configuration of(List<Integer> enginePorts, List<Integer> ledgerPorts) {
    Configuration.Builder builder =
        Configuration.builder()
            .revision(1)
            .salt(SALT)
            .limits(LIMITS)
            .operatorKey(KeyHash.of(SALT, OPERATOR_KEY))
            .model(MODEL, ModelId.of(1))
            .team(team(1, "camps", KEY, 100))
            .team(team(2, "carols", OTHER_KEY, 1))
            .service(assistant())
            .service(ledger());
    for (int i = 0; i < enginePorts.size(); i++) {
      String name = "engine-" + (i + 1);
      builder.upstream(upstream(1 + i, name, 1, enginePorts.get(i), Set.of(ModelId.of(1))));
    }
    for (int i = 0; i < ledgerPorts.size(); i++) {
      builder.upstream(upstream(11 + i, "ledger-" + (i + 1), 2, ledgerPorts.get(i), Set.of()));
    }
    return builder.build();
  }

  private static Service assistant() {
    return new Service(
        ServiceId.of(1),
        "assistant",
        ServiceType.MODEL,
        CostUnit.TOKENS,
        List.of(new RequestKind("chat", "POST", "/v1/chat/completions", true)));
  }

  private static Service ledger() {
    return new Service(
        ServiceId.of(2),
        "ledger",
        ServiceType.PLAIN,
        CostUnit.CALLS,
        List.of(
            new RequestKind("book", "POST", "/bookings", false),
            new RequestKind("pay", "POST", "/payments", false),
            new RequestKind("check", "GET", "/checks/*", true),
            new RequestKind("read", "GET", "/bookings/*", true)));
  }

  private static Team team(int id, String name, String key, int maxOpen) {
    return new Team(TeamId.of(id), name, 1, List.of(KeyHash.of(SALT, key)), 100, maxOpen);
  }

  private static Upstream upstream(
      int id, String name, int service, int port, Set<ModelId> models) {
    return new Upstream(
        UpstreamId.of(id),
        name,
        ServiceId.of(service),
        FailureDomain.of("north"),
        "127.0.0.1",
        port,
        models,
        8,
        2,
        true);
  }
}
