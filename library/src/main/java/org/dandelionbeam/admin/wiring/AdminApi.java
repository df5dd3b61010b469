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
import org.dandelionbeam.entry.wiring.EntryContext.AdminCall;
import org.dandelionbeam.entry.wiring.EntryContext.AdminReply;
import org.dandelionbeam.entry.wiring.EntryContext.Closed;
import org.dandelionbeam.explain.Journal;
import org.dandelionbeam.membership.DomainMark;
import org.dandelionbeam.membership.wiring.MembershipManager;
import org.dandelionbeam.store.wiring.RateLimitedPlatformStore;

/** Answers probes and operators from what the duties of a node know. */
public final class AdminApi {
  private static final String METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8";
  private static final String EXPLAIN = "/explain/";
  private static final String DOMAINS = "/domains/";
  private static final int OK = 200;
  private static final int UNAVAILABLE = 503;

  private final Parts parts;

  private AdminApi(Parts parts) {
    this.parts = requireNonNull(parts, "parts");
  }

  /**
   * Returns the calls of a node.
   *
   * @param parts what the calls are answered from
   * @return the calls
   */
  public static AdminApi of(Parts parts) {
    return new AdminApi(parts);
  }

  /**
   * Returns the routes of all calls.
   *
   * @return the routes
   */
  public AdminRoutes routes() {
    ConfigCalls config = new ConfigCalls(parts.config());
    return AdminRoutes.empty()
        .on("GET", "/livez", call -> AdminRoutes.json(Map.of("live", true)))
        .on("GET", "/readyz", call -> ready())
        .on("GET", "/metrics", call -> new AdminReply(OK, METRICS_TYPE, parts.meters().scrape()))
        .onLater("GET", "/status", call -> status())
        .on("GET", "/top", call -> AdminRoutes.json(TopTeams.of(parts.meters())))
        .on("GET", "/events", call -> AdminRoutes.json(lines(parts.journal().events())))
        .on("GET", EXPLAIN, this::explain)
        .onLater("GET", "/config", call -> config.show())
        .onLater("POST", "/config/diff", config::diff)
        .onLater("POST", "/config/apply", config::apply)
        .onLater("POST", DOMAINS, this::markDomain);
  }

  private AdminReply ready() {
    return parts
        .closed()
        .get()
        .map(
            closed ->
                new AdminReply(
                    UNAVAILABLE,
                    "application/json",
                    Map.of("ready", false, "code", closed.code(), "why", closed.detail())))
        .orElseGet(() -> AdminRoutes.json(Map.of("ready", true)));
  }

  private CompletableFuture<AdminReply> status() {
    return parts
        .config()
        .status()
        .thenApply(
            config -> {
              Map<String, Object> status = new LinkedHashMap<>();
              status.put("node", parts.node().name());
              status.put("state", parts.closed().get().map(c -> c.code().name()).orElse("SERVING"));
              status.put("platform", parts.store().health());
              status.put("membership", parts.membership().status());
              status.put("config", ConfigCalls.summary(config));
              return AdminRoutes.json(status);
            });
  }

  private AdminReply explain(AdminCall call) {
    String request = call.path().substring(EXPLAIN.length());
    Map<RequestId, List<Journal.Line>> found = parts.journal().linesOfStart(request);
    if (request.isEmpty() || found.isEmpty()) {
      String detail = "this router has no request " + request + " in its journal";
      throw new FleetException(ErrorCode.NOT_FOUND, detail);
    }
    Map<String, Object> pages = new LinkedHashMap<>();
    found.forEach((id, decisions) -> pages.put(id.name(), lines(decisions)));
    return AdminRoutes.json(pages);
  }

  private CompletableFuture<AdminReply> markDomain(AdminCall call) {
    String[] words = call.path().substring(DOMAINS.length()).split("/", -1);
    if (words.length != 2) {
      throw new FleetException(ErrorCode.NOT_FOUND, "use /domains/NAME/leave or /return");
    }
    FailureDomain domain = knownDomain(words[0]);
    Function<FailureDomain, CompletableFuture<DomainMark>> mark =
        switch (words[1]) {
          case "leave" -> parts.membership()::leaveDomain;
          case "return" -> parts.membership()::returnDomain;
          default -> throw new FleetException(ErrorCode.NOT_FOUND, "use leave or return");
        };
    return mark.apply(domain).thenApply(AdminRoutes::json);
  }

  private FailureDomain knownDomain(String name) {
    Optional<Configuration> configuration = parts.config().current();
    return configuration.stream()
        .flatMap(c -> c.domains().stream())
        .map(Domain::name)
        .filter(domain -> domain.name().equals(name))
        .findFirst()
        .orElseThrow(() -> new FleetException(ErrorCode.NOT_FOUND, "no failure domain " + name));
  }

  private static List<Map<String, String>> lines(List<Journal.Line> lines) {
    return lines.stream()
        .map(
            line -> {
              Map<String, String> shown = new LinkedHashMap<>();
              shown.put("at", line.at().toString());
              shown.put("what", line.what());
              shown.put("detail", line.detail());
              return shown;
            })
        .toList();
  }

  /**
   * What calls are answered from.
   *
   * @param node this node
   * @param membership the membership duty
   * @param config the configuration duty
   * @param store the platform's service
   * @param journal log of decisions
   * @param meters metrics
   * @param closed why the node takes no requests
   */
  public record Parts(
      NodeId node,
      MembershipManager membership,
      ConfigManager config,
      RateLimitedPlatformStore store,
      Journal journal,
      PrometheusMeterRegistry meters,
      Supplier<Optional<Closed>> closed) {}
}
