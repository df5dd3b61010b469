package org.dandelionbeam.admin.wiring;

import static java.util.Objects.requireNonNull;

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.function.Supplier;
import org.dandelionbeam.base.ErrorCode;
import org.dandelionbeam.base.FailureDomain;
import org.dandelionbeam.base.FleetException;
import org.dandelionbeam.base.NodeId;
import org.dandelionbeam.base.RequestId;
import org.dandelionbeam.config.Configuration;
import org.dandelionbeam.config.Domain;
import org.dandelionbeam.config.wiring.ConfigManager;
import org.dandelionbeam.entry.wiring.EntryContext.AdminRequest;
import org.dandelionbeam.entry.wiring.EntryContext.AdminResponse;
import org.dandelionbeam.entry.wiring.EntryContext.ClosedReason;
import org.dandelionbeam.explain.Journal;
import org.dandelionbeam.membership.DomainMark;
import org.dandelionbeam.membership.wiring.MembershipManager;
import org.dandelionbeam.store.wiring.RateLimitedPlatformStore;

/** Handlers of the requests of operators and probes, based on the components of a node. */
public final class AdminApi {
  private static final String METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8";
  private static final String EXPLAIN = "/explain/";
  private static final String DOMAINS = "/domains/";
  private static final int OK = 200;
  private static final int UNAVAILABLE = 503;

  private final Components components;

  private AdminApi(Components components) {
    this.components = requireNonNull(components, "components");
  }

  /**
   * Creates the API of a node.
   *
   * @param components components that the handlers use
   * @return the API
   */
  public static AdminApi of(Components components) {
    return new AdminApi(components);
  }

  /**
   * Creates the routes to all handlers.
   *
   * @return the routes
   */
  public AdminRoutes routes() {
    ConfigHandlers config = new ConfigHandlers(components.config());
    return AdminRoutes.empty()
        .on("GET", "/livez", call -> AdminRoutes.json(Map.of("live", true)))
        .on("GET", "/readyz", call -> ready())
        .on(
            "GET",
            "/metrics",
            call -> new AdminResponse(OK, METRICS_TYPE, components.meters().scrape()))
        .onAsync("GET", "/status", call -> status())
        .on("GET", "/top", call -> AdminRoutes.json(TopTeams.of(components.meters())))
        .on("GET", "/events", call -> AdminRoutes.json(toJson(components.journal().events())))
        .on("GET", EXPLAIN, this::explain)
        .onAsync("GET", "/config", call -> config.show())
        .onAsync("POST", "/config/diff", config::diff)
        .onAsync("POST", "/config/apply", config::apply)
        .onAsync("POST", DOMAINS, this::markDomain);
  }

  private AdminResponse ready() {
    return components
        .closedReason()
        .get()
        .map(
            closed ->
                new AdminResponse(
                    UNAVAILABLE,
                    "application/json",
                    Map.of("ready", false, "code", closed.code(), "why", closed.detail())))
        .orElseGet(() -> AdminRoutes.json(Map.of("ready", true)));
  }

  private CompletableFuture<AdminResponse> status() {
    return components
        .config()
        .status()
        .thenApply(
            config -> {
              Map<String, Object> status = new LinkedHashMap<>();
              status.put("node", components.node().name());
              status.put(
                  "state",
                  components.closedReason().get().map(c -> c.code().name()).orElse("SERVING"));
              status.put("platform", components.store().health());
              status.put("membership", components.membership().status());
              status.put("config", ConfigHandlers.summary(config));
              return AdminRoutes.json(status);
            });
  }

  private AdminResponse explain(AdminRequest call) {
    String request = call.path().substring(EXPLAIN.length());
    Map<RequestId, List<Journal.Entry>> found = components.journal().entriesByIdPrefix(request);
    if (request.isEmpty() || found.isEmpty()) {
      String detail = "this router has no request " + request + " in its journal";
      throw new FleetException(ErrorCode.NOT_FOUND, detail);
    }
    Map<String, Object> pages = new LinkedHashMap<>();
    found.forEach((id, decisions) -> pages.put(id.name(), toJson(decisions)));
    return AdminRoutes.json(pages);
  }

  private CompletableFuture<AdminResponse> markDomain(AdminRequest call) {
    String[] words = call.path().substring(DOMAINS.length()).split("/", -1);
    if (words.length != 2) {
      throw new FleetException(
          ErrorCode.NOT_FOUND, "use /domains/NAME/leave or /domains/NAME/return");
    }
    FailureDomain domain = knownDomain(words[0]);
    Function<FailureDomain, CompletableFuture<DomainMark>> mark =
        switch (words[1]) {
          case "leave" -> components.membership()::leaveDomain;
          case "return" -> components.membership()::returnDomain;
          default ->
              throw new FleetException(ErrorCode.NOT_FOUND, "unknown action, use leave or return");
        };
    return mark.apply(domain).thenApply(AdminRoutes::json);
  }

  private FailureDomain knownDomain(String name) {
    Optional<Configuration> configuration = components.config().current();
    return configuration.stream()
        .flatMap(c -> c.domains().stream())
        .map(Domain::name)
        .filter(domain -> domain.name().equals(name))
        .findFirst()
        .orElseThrow(
            () ->
                new FleetException(
                    ErrorCode.NOT_FOUND, "the configuration has no failure domain " + name));
  }

  private static List<Map<String, String>> toJson(List<Journal.Entry> lines) {
    return lines.stream()
        .map(
            line -> {
              Map<String, String> shown = new LinkedHashMap<>();
              shown.put("at", line.at().toString());
              shown.put("what", line.type());
              shown.put("detail", line.detail());
              return shown;
            })
        .toList();
  }

  /**
   * Components of the node that the handlers use.
   *
   * @param node id of this node
   * @param membership the membership component
   * @param config the configuration component
   * @param store the platform's key-value store
   * @param journal journal of decisions
   * @param meters registry of the metrics
   * @param closedReason why the node accepts no requests, empty if it accepts them
   */
  public record Components(
      NodeId node,
      MembershipManager membership,
      ConfigManager config,
      RateLimitedPlatformStore store,
      Journal journal,
      PrometheusMeterRegistry meters,
      Supplier<Optional<ClosedReason>> closedReason) {}
}
