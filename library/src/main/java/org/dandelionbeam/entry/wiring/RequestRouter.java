package org.dandelionbeam.entry.wiring;

import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.dandelionbeam.base.ErrorCode;
import org.dandelionbeam.base.FailureDomain;
import org.dandelionbeam.base.FleetException;
import org.dandelionbeam.base.RequestId;
import org.dandelionbeam.base.Verdict;
import org.dandelionbeam.config.Configuration;
import org.dandelionbeam.config.Team;
import org.dandelionbeam.entry.Route;
import org.dandelionbeam.entry.StreamPosition;
import org.dandelionbeam.entry.wiring.EntryContext.AdminRequest;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Routes a caller's request by its path to a relay, the operators' API or the address list. */
final class RequestRouter {
  private static final Logger LOG = LoggerFactory.getLogger(RequestRouter.class);
  private static final String LAST_EVENT_ID = "last-event-id";
  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  private final EntryState state;
  private final CallerConnection caller;

  RequestRouter(EntryState state, CallerConnection caller) {
    this.state = state;
    this.caller = caller;
  }

  void handle(FullHttpRequest request) {
    try {
      requireWellFormed(request);
      Route route =
          Route.of(RequestValidator.pathOf(request))
              .orElseThrow(() -> new FleetException(ErrorCode.NOT_FOUND, "no route has this path"));
      dispatch(route, request);
    } catch (FleetException e) {
      refuse(e.code(), e.verdict(), e.getMessage(), Duration.ZERO);
    } catch (RuntimeException e) {
      LOG.error("unexpected error while routing a request", e);
      refuse(
          ErrorCode.INTERNAL,
          Verdict.MAY_HAVE_RUN,
          "unexpected error, see the router's log",
          Duration.ZERO);
    }
  }

  private void dispatch(Route route, FullHttpRequest request) {
    if (route instanceof Route.Probe probe) {
      admin(probe.path(), request);
      return;
    }
    if (route instanceof Route.Admin admin) {
      requireOperator(request);
      admin(admin.path(), request);
      return;
    }
    Optional<Configuration> configuration = state.context().configuration().get();
    if (route instanceof Route.Addresses) {
      addresses(request);
      return;
    }
    Optional<EntryContext.ClosedReason> closed = state.context().closedReason().get();
    if (closed.isPresent()) {
      refuse(closed.get().code(), Verdict.NOT_RUN, closed.get().detail(), RETRY_AFTER);
    } else if (configuration.isEmpty()) {
      refuse(ErrorCode.NOT_READY, Verdict.NOT_RUN, "no configuration yet", RETRY_AFTER);
    } else {
      open(route, request, configuration.get());
    }
  }

  private void open(Route route, FullHttpRequest request, Configuration configuration) {
    RequestValidator validator = new RequestValidator(state, configuration, request);
    Team team = validator.authenticateTeam();
    Optional<StreamPosition> position = resumePosition(request, team);
    ValidatedRequest validated;
    if (position.isPresent()) {
      validated = validator.adoptStream(team, startedRequest(position.get()));
    } else if (route instanceof Route.ServiceCall serviceCall) {
      validated = validator.validateServiceCall(team, serviceCall);
    } else {
      validated = validator.validateChat(team);
    }
    if (!state.tryOpen(team.id(), team.maxOpen())) {
      String detail = "the team has " + team.maxOpen() + " requests open at this router";
      refuse(ErrorCode.TOO_MANY_OPEN, Verdict.NOT_RUN, detail, RETRY_AFTER);
      return;
    }
    RequestRelay relay = new RequestRelay(state, validated, caller, caller::detachRelay);
    caller.attachRelay(relay);
    if (position.isPresent()) {
      relay.startAdopted(position.get(), startedAttempt(position.get()));
    } else {
      relay.start();
    }
  }

  private Optional<StreamPosition> resumePosition(FullHttpRequest request, Team team) {
    String text = request.headers().get(LAST_EVENT_ID);
    if (text == null || text.isBlank()) {
      return Optional.empty();
    }
    return Optional.of(
        StreamPosition.parse(text.strip(), state.context().fleetKey(), team.id())
            .filter(position -> position.exchange().name().matches(".+-[0-9]{1,3}"))
            .orElseThrow(
                () -> new FleetException(ErrorCode.NOT_FOUND, "no stream has this event id")));
  }

  private static RequestId startedRequest(StreamPosition position) {
    String exchange = position.exchange().name();
    return RequestId.of(exchange.substring(0, exchange.lastIndexOf('-')));
  }

  private static int startedAttempt(StreamPosition position) {
    String exchange = position.exchange().name();
    return Integer.parseInt(exchange.substring(exchange.lastIndexOf('-') + 1));
  }

  private void addresses(FullHttpRequest request) {
    if (!request.method().equals(HttpMethod.GET)) {
      throw new FleetException(ErrorCode.METHOD_NOT_ALLOWED, "use GET");
    }
    Optional<FailureDomain> domain =
        Optional.ofNullable(queryOf(request).get("domain"))
            .filter(name -> !name.isBlank())
            .map(FailureDomain::of);
    caller.respond(
        Responses.response(200, "application/json", state.context().addresses().addresses(domain)));
  }

  /** Requires an operator key. Without a configuration, the fleet key is the operator key. */
  private void requireOperator(FullHttpRequest request) {
    String key = RequestValidator.bearerKey(request).orElse("");
    boolean allowed =
        state
            .context()
            .configuration()
            .get()
            .map(c -> c.isOperatorKey(key))
            .orElseGet(() -> isFleetKey(key));
    if (!allowed) {
      throw new FleetException(ErrorCode.UNAUTHORIZED, "the operator key is missing or not valid");
    }
  }

  private boolean isFleetKey(String key) {
    return MessageDigest.isEqual(key.getBytes(StandardCharsets.UTF_8), state.context().fleetKey());
  }

  private void admin(String path, FullHttpRequest request) {
    AdminRequest adminRequest =
        new AdminRequest(
            request.method().name(),
            path,
            queryOf(request),
            ByteBufUtil.getBytes(request.content()));
    state
        .context()
        .admin()
        .handle(
            adminRequest, reply -> state.loop().execute(() -> caller.respond(toResponse(reply))));
  }

  private static FullHttpResponse toResponse(EntryContext.AdminResponse reply) {
    return reply.body() instanceof String text
        ? Responses.text(reply.status(), reply.contentType(), text)
        : Responses.response(reply.status(), reply.contentType(), reply.body());
  }

  private static Map<String, String> queryOf(FullHttpRequest request) {
    Map<String, String> query = new HashMap<>();
    try {
      new QueryStringDecoder(request.uri())
          .parameters()
          .forEach((name, values) -> query.put(name, values.get(0)));
    } catch (IllegalArgumentException e) {
      throw new FleetException(ErrorCode.MALFORMED_REQUEST, "the query string is malformed");
    }
    return query;
  }

  private static void requireWellFormed(FullHttpRequest request) {
    if (request.decoderResult().isSuccess()) {
      return;
    }
    Throwable cause = request.decoderResult().cause();
    if (cause instanceof TooLongHttpLineException) {
      throw new FleetException(ErrorCode.URI_TOO_LONG, "the request line is too long");
    }
    if (cause instanceof TooLongHttpHeaderException) {
      throw new FleetException(ErrorCode.HEADERS_TOO_LARGE, "the headers are too large");
    }
    throw new FleetException(ErrorCode.MALFORMED_REQUEST, "the request is not well-formed HTTP");
  }

  private void refuse(ErrorCode code, Verdict verdict, String detail, Duration retryAfter) {
    state.countRefusal(code.name());
    caller.respond(Responses.problem(code, verdict, detail, retryAfter));
  }
}
