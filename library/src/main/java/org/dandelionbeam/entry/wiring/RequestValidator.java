package org.dandelionbeam.entry.wiring;

import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.regex.Pattern;
import org.dandelionbeam.base.ErrorCode;
import org.dandelionbeam.base.FleetException;
import org.dandelionbeam.base.ModelId;
import org.dandelionbeam.base.RequestId;
import org.dandelionbeam.config.Configuration;
import org.dandelionbeam.config.RequestKind;
import org.dandelionbeam.config.Service;
import org.dandelionbeam.config.ServiceType;
import org.dandelionbeam.config.Team;
import org.dandelionbeam.entry.RequestDescriptor;
import org.dandelionbeam.entry.Route;

/** Authenticates and checks a caller's request and converts it to a {@link ValidatedRequest}. */
final class RequestValidator {
  static final String IDEMPOTENCY_KEY = "idempotency-key";
  static final String TIMEOUT_MILLIS = "x-request-timeout-ms";
  private static final String BEARER = "Bearer ";
  private static final String CHAT_PATH = "/v1/chat/completions";
  private static final int MAX_KEY_CHARACTERS = 256;
  private static final long NANOS_PER_MILLISECOND = 1_000_000;
  private static final Pattern CALLER_ID = Pattern.compile("[A-Za-z0-9_-]{1,64}");

  private final EntryState state;
  private final Configuration configuration;
  private final FullHttpRequest request;

  RequestValidator(EntryState state, Configuration configuration, FullHttpRequest request) {
    this.state = state;
    this.configuration = configuration;
    this.request = request;
  }

  static Optional<String> bearerKey(FullHttpRequest request) {
    String header = request.headers().get(HttpHeaderNames.AUTHORIZATION, "");
    boolean bearer = header.regionMatches(true, 0, BEARER, 0, BEARER.length());
    return bearer ? Optional.of(header.substring(BEARER.length()).strip()) : Optional.empty();
  }

  Team authenticateTeam() {
    return bearerKey(request)
        .flatMap(configuration::teamOfKey)
        .orElseThrow(
            () -> new FleetException(ErrorCode.UNAUTHORIZED, "the bearer key is not valid"));
  }

  ValidatedRequest validateChat(Team team) {
    requireMethod(HttpMethod.POST);
    byte[] body = ByteBufUtil.getBytes(request.content());
    ChatRequestBody parsed = ChatRequestBody.parse(body);
    ModelId model =
        Optional.ofNullable(configuration.models().get(parsed.model()))
            .orElseThrow(() -> notFound("the configuration has no model of this name"));
    Service service = serviceOfModel(model);
    int kind = kindOf(service, CHAT_PATH);
    RequestDescriptor descriptor =
        new RequestDescriptor(
            newId(),
            team.id(),
            service.id(),
            kind,
            service.kinds().get(kind).idempotent(),
            Optional.of(model),
            parsed.prefixHash(),
            parsed.costHint(),
            deadline(service));
    return build(descriptor, team, service, parsed.stream(), CHAT_PATH, body);
  }

  ValidatedRequest validateServiceCall(Team team, Route.ServiceCall route) {
    Service service =
        configuration
            .serviceNamed(route.service())
            .filter(found -> found.type() == ServiceType.PLAIN)
            .orElseThrow(() -> notFound("no service of this name"));
    int kind = kindOf(service, route.path());
    RequestDescriptor descriptor =
        new RequestDescriptor(
            newId(),
            team.id(),
            service.id(),
            kind,
            service.kinds().get(kind).idempotent(),
            Optional.empty(),
            0,
            0,
            deadline(service));
    String uri = route.path() + query();
    return build(descriptor, team, service, false, uri, ByteBufUtil.getBytes(request.content()));
  }

  /**
   * Builds the request for a stream that another router started; it keeps the id of the request
   * that started the stream.
   */
  ValidatedRequest adoptStream(Team team, RequestId startedRequest) {
    Service service =
        configuration.services().stream()
            .filter(found -> found.type() == ServiceType.MODEL)
            .findFirst()
            .orElseThrow(() -> notFound("the configuration has no model service"));
    RequestDescriptor descriptor =
        new RequestDescriptor(
            startedRequest,
            team.id(),
            service.id(),
            0,
            true,
            Optional.empty(),
            0,
            0,
            deadline(service));
    return build(descriptor, team, service, true, CHAT_PATH, new byte[0]);
  }

  private ValidatedRequest build(
      RequestDescriptor descriptor,
      Team team,
      Service service,
      boolean stream,
      String uri,
      byte[] body) {
    String key = request.headers().get(IDEMPOTENCY_KEY, "");
    if (key.length() > MAX_KEY_CHARACTERS) {
      throw new FleetException(ErrorCode.INVALID_BODY, "Idempotency-Key exceeds 256 characters");
    }
    return new ValidatedRequest(
        descriptor,
        team,
        service,
        stream,
        request.method(),
        uri,
        request.headers().copy(),
        body,
        key);
  }

  private Service serviceOfModel(ModelId model) {
    return configuration.upstreams().stream()
        .filter(upstream -> upstream.models().contains(model))
        .findFirst()
        .flatMap(upstream -> configuration.service(upstream.service()))
        .orElseThrow(() -> notFound("no configured engine has this model"));
  }

  private int kindOf(Service service, String path) {
    OptionalInt kind = service.kindOf(request.method().name(), path);
    if (kind.isPresent()) {
      return kind.getAsInt();
    }
    boolean otherMethod =
        service.kinds().stream()
            .map(RequestKind::method)
            .anyMatch(m -> service.kindOf(m, path).isPresent());
    throw otherMethod
        ? new FleetException(ErrorCode.METHOD_NOT_ALLOWED, "the service declares another method")
        : notFound("the service does not declare this path");
  }

  private RequestId newId() {
    String callerId = request.headers().get(ValidatedRequest.REQUEST_ID);
    boolean usable = callerId != null && CALLER_ID.matcher(callerId).matches();
    return state.newRequestId(usable ? callerId : null);
  }

  private long deadline(Service service) {
    long limit = service.deadline().toNanos();
    String requested = request.headers().get(TIMEOUT_MILLIS);
    long now = state.context().clock().nanos();
    if (requested == null) {
      return now + limit;
    }
    try {
      long millis = Long.parseLong(requested.strip());
      if (millis < 1) {
        throw new NumberFormatException(requested);
      }
      return now + Math.min(limit, Math.min(millis, Integer.MAX_VALUE) * NANOS_PER_MILLISECOND);
    } catch (NumberFormatException e) {
      throw new FleetException(
          ErrorCode.INVALID_BODY, "X-Request-Timeout-Ms must be a whole number above 0");
    }
  }

  private String query() {
    int start = request.uri().indexOf('?');
    return start < 0 ? "" : request.uri().substring(start);
  }

  private void requireMethod(HttpMethod method) {
    if (!request.method().equals(method)) {
      throw new FleetException(ErrorCode.METHOD_NOT_ALLOWED, "the path allows only " + method);
    }
  }

  static String pathOf(FullHttpRequest request) {
    return new QueryStringDecoder(request.uri()).rawPath();
  }

  private static FleetException notFound(String detail) {
    return new FleetException(ErrorCode.NOT_FOUND, detail);
  }
}
