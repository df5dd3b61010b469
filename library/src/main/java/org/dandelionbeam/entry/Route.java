package org.dandelionbeam.entry;

import java.util.Optional;

/** Route of a caller's request, derived from its path. */
public sealed interface Route {

  /** The chat completions API of the model engines. */
  record Chat() implements Route {}

  /**
   * A request for a plain service.
   *
   * @param service name of the service
   * @param path path at the service, starting with a slash
   */
  record ServiceCall(String service, String path) implements Route {}

  /** The list of router addresses that a caller may use. */
  record Addresses() implements Route {}

  /**
   * A request that needs no key: health or metrics.
   *
   * @param path full path of the request
   */
  record Probe(String path) implements Route {}

  /**
   * An operator's request.
   *
   * @param path path below {@code /admin/v1}, starting with a slash
   */
  record Admin(String path) implements Route {}

  /**
   * Returns the route of a path.
   *
   * @param path path of the request, without query
   * @return the route, empty if there is none
   */
  static Optional<Route> of(String path) {
    return switch (path) {
      case "/v1/chat/completions" -> Optional.of(new Chat());
      case "/v1/addresses" -> Optional.of(new Addresses());
      case "/livez", "/readyz", "/metrics" -> Optional.of(new Probe(path));
      default -> ofPrefix(path);
    };
  }

  private static Optional<Route> ofPrefix(String path) {
    String services = "/v1/services/";
    String admin = "/admin/v1/";
    if (path.startsWith(admin)) {
      return Optional.of(new Admin(path.substring(admin.length() - 1)));
    }
    if (!path.startsWith(services)) {
      return Optional.empty();
    }
    String rest = path.substring(services.length());
    int slash = rest.indexOf('/');
    String service = slash < 0 ? rest : rest.substring(0, slash);
    String below = slash < 0 ? "/" : rest.substring(slash);
    return service.isEmpty() ? Optional.empty() : Optional.of(new ServiceCall(service, below));
  }
}
