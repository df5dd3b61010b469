package org.dandelionbeam.admin.wiring;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import org.dandelionbeam.base.ErrorCode;
import org.dandelionbeam.base.FleetException;
import org.dandelionbeam.base.Verdict;
import org.dandelionbeam.entry.wiring.EntryContext;
import org.dandelionbeam.entry.wiring.EntryContext.AdminRequest;
import org.dandelionbeam.entry.wiring.EntryContext.AdminResponse;
import org.dandelionbeam.entry.wiring.Responses;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Routes requests of operators and probes to handlers by method and path. */
public final class AdminRoutes implements EntryContext.AdminPort {
  private static final Logger LOG = LoggerFactory.getLogger(AdminRoutes.class);
  private static final int OK = 200;
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(13);

  private final List<RouteEntry> routes = new ArrayList<>();

  private AdminRoutes() {}

  /**
   * Creates routes without a handler.
   *
   * @return empty routes
   */
  public static AdminRoutes empty() {
    return new AdminRoutes();
  }

  /**
   * Adds a handler that returns its response.
   *
   * @param method HTTP method
   * @param pathPrefix full path, or a prefix of paths if it ends with a slash
   * @param handler handles the request
   * @return these routes
   */
  public AdminRoutes on(
      String method, String pathPrefix, Function<AdminRequest, AdminResponse> handler) {
    requireNonNull(handler, "handler");
    return onAsync(
        method, pathPrefix, call -> CompletableFuture.completedFuture(handler.apply(call)));
  }

  /**
   * Adds a handler that completes its response later.
   *
   * @param method HTTP method
   * @param pathPrefix full path, or a prefix of paths if it ends with a slash
   * @param handler handles the request
   * @return these routes
   */
  public AdminRoutes onAsync(
      String method,
      String pathPrefix,
      Function<AdminRequest, CompletableFuture<AdminResponse>> handler) {
    routes.add(new RouteEntry(method, pathPrefix, requireNonNull(handler, "handler")));
    return this;
  }

  /**
   * Builds a JSON response of status 200.
   *
   * @param value a value to be written as JSON
   * @return the response
   */
  public static AdminResponse json(Object value) {
    return new AdminResponse(OK, "application/json", value);
  }

  /**
   * Builds an error response of verdict {@code NOT_RUN}.
   *
   * @param code the error code
   * @param detail cause of the error, as one sentence
   * @return the response
   */
  public static AdminResponse problem(ErrorCode code, String detail) {
    return problem(code, Verdict.NOT_RUN, detail);
  }

  private static AdminResponse problem(ErrorCode code, Verdict verdict, String detail) {
    Object body = Responses.problemBody(code, verdict, detail);
    return new AdminResponse(code.httpStatus(), "application/problem+json", body);
  }

  @Override
  public void handle(AdminRequest call, Consumer<AdminResponse> reply) {
    answer(call)
        .orTimeout(CALL_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
        .whenComplete(
            (answer, failure) -> reply.accept(failure == null ? answer : problemOf(failure)));
  }

  private CompletableFuture<AdminResponse> answer(AdminRequest call) {
    try {
      return routes.stream()
          .filter(route -> route.matches(call))
          .findFirst()
          .map(route -> route.handler().apply(call))
          .orElseGet(
              () ->
                  CompletableFuture.completedFuture(
                      problem(ErrorCode.NOT_FOUND, "no route has this method and path")));
    } catch (RuntimeException e) {
      return CompletableFuture.completedFuture(problemOf(e));
    }
  }

  private static AdminResponse problemOf(Throwable failure) {
    Throwable cause = failure.getCause() == null ? failure : failure.getCause();
    FleetException known =
        failure instanceof FleetException direct
            ? direct
            : cause instanceof FleetException wrapped ? wrapped : null;
    if (known != null) {
      return problem(known.code(), known.verdict(), known.getMessage());
    }
    LOG.error("unexpected error while handling an operator's request", failure);
    return problem(
        ErrorCode.INTERNAL, Verdict.MAY_HAVE_RUN, "unexpected error, see the router's log");
  }

  private record RouteEntry(
      String method,
      String pathPrefix,
      Function<AdminRequest, CompletableFuture<AdminResponse>> handler) {
    boolean matches(AdminRequest call) {
      boolean path =
          pathPrefix.endsWith("/")
              ? call.path().startsWith(pathPrefix)
              : call.path().equals(pathPrefix);
      return path && method.equals(call.method());
    }
  }
}
