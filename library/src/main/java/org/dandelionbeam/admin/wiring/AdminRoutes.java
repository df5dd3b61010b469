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
import org.dandelionbeam.entry.wiring.Replies;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Finds the handler of an operator's call by method and path. */
public final class AdminRoutes implements EntryContext.AdminPort {
  private static final Logger LOG = LoggerFactory.getLogger(AdminRoutes.class);
  private static final int OK = 200;
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(13);

  private final List<RouteEntry> routes = new ArrayList<>();

  private AdminRoutes() {}

  /**
   * Returns routes without an entry.
   *
   * @return empty routes
   */
  public static AdminRoutes empty() {
    return new AdminRoutes();
  }

  /**
   * Adds a call that is answered at once.
   *
   * @param method HTTP method
   * @param pathPrefix path, or its start if it ends with a slash
   * @param handler answers the call
   * @return these routes
   */
  public AdminRoutes on(
      String method, String pathPrefix, Function<AdminRequest, AdminResponse> handler) {
    requireNonNull(handler, "handler");
    return onAsync(
        method, pathPrefix, call -> CompletableFuture.completedFuture(handler.apply(call)));
  }

  /**
   * Adds a call that is answered later.
   *
   * @param method HTTP method
   * @param pathPrefix path, or its start if it ends with a slash
   * @param handler answers the call
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
   * Builds an answer of status 200.
   *
   * @param value a value to be written as JSON
   * @return the answer
   */
  public static AdminResponse json(Object value) {
    return new AdminResponse(OK, "application/json", value);
  }

  /**
   * Builds an error.
   *
   * @param code the error code
   * @param detail one sentence
   * @return the answer
   */
  public static AdminResponse problem(ErrorCode code, String detail) {
    return problem(code, Verdict.NOT_RUN, detail);
  }

  private static AdminResponse problem(ErrorCode code, Verdict verdict, String detail) {
    Object body = Replies.problemBody(code, verdict, detail);
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
                  CompletableFuture.completedFuture(problem(ErrorCode.NOT_FOUND, "no such call")));
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
    LOG.error("operator's call failed", failure);
    return problem(ErrorCode.INTERNAL, Verdict.MAY_HAVE_RUN, "see the router's log");
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
