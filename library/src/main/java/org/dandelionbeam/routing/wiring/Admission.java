package org.dandelionbeam.routing.wiring;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Optional;
import org.dandelionbeam.base.ErrorCode;
import org.dandelionbeam.routing.RouteRule;
import org.dandelionbeam.routing.RoutingTable;
import org.dandelionbeam.routing.TeamName;

/** Whether the configuration in force allows a request. */
sealed interface Admission {

  /**
   * The request is allowed.
   *
   * @param route route that it matches
   * @param team team that owns its key, empty if the route needs none
   */
  record Admitted(RouteRule route, Optional<TeamName> team) implements Admission {}

  /**
   * The request is not allowed.
   *
   * @param status status of the response
   * @param code error code of the response
   * @param reason name of the reason in the log
   */
  record Denied(HttpResponseStatus status, ErrorCode code, String reason) implements Admission {}

  /** Matches a request to its route and its key to a team. */
  static Admission of(RoutingTable table, HttpRequest head, Optional<String> key) {
    String uri = head.uri();
    int query = uri.indexOf('?');
    String path = query < 0 ? uri : uri.substring(0, query);
    Optional<RouteRule> route = table.match(head.headers().get(HttpHeaderNames.HOST), path);
    if (route.isEmpty()) {
      return new Denied(HttpResponseStatus.NOT_FOUND, ErrorCode.NOT_FOUND, "no_route");
    }
    Optional<TeamName> team = key.flatMap(table::teamOf);
    if (team.isEmpty() && table.keysRequired() && !route.get().anonymous()) {
      return new Denied(HttpResponseStatus.UNAUTHORIZED, ErrorCode.UNAUTHORIZED, "unknown_key");
    }
    return new Admitted(route.get(), team);
  }
}
