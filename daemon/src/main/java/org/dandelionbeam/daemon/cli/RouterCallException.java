package org.dandelionbeam.daemon.cli;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.dandelionbeam.base.ErrorCode;

/** Failure of a call to a router, reported by the router or detected by the client. */
final class RouterCallException extends RuntimeException {
  private static final long serialVersionUID = 1L;
  private static final List<String> STANDARD_MEMBERS =
      List.of("type", "title", "status", "code", "verdict", "detail");

  private final transient ObjectNode problem;

  private RouterCallException(ObjectNode problem, Throwable cause) {
    super(problem.path("detail").asText(), cause);
    this.problem = problem;
  }

  /** Returns a failure that a router reported as problem details (RFC 9457). */
  static RouterCallException of(ObjectNode problem) {
    return new RouterCallException(requireNonNull(problem, "problem"), null);
  }

  /** Returns a failure that the client detected, such as an unreachable router. */
  static RouterCallException of(ErrorCode code, String detail, Throwable cause) {
    ObjectNode problem = JsonNodeFactory.instance.objectNode();
    problem.put("code", code.name()).put("detail", detail).put("title", code.remedy());
    return new RouterCallException(problem, cause);
  }

  /** Returns the code, the detail and the remedy on one line. */
  String summaryLine() {
    String line = problem.path("code").asText() + ": " + problem.path("detail").asText();
    String title = problem.path("title").asText();
    return (title.isEmpty() ? line : line + " (" + title + ")").replace('\n', ' ');
  }

  /** Returns the members beyond the standard ones, such as the changes of a conflict. */
  JsonNode extensionMembers() {
    return problem.deepCopy().remove(STANDARD_MEMBERS);
  }
}
