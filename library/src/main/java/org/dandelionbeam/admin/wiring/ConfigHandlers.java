package org.dandelionbeam.admin.wiring;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.dandelionbeam.base.ErrorCode;
import org.dandelionbeam.base.FleetException;
import org.dandelionbeam.base.Verdict;
import org.dandelionbeam.config.ApplyResult;
import org.dandelionbeam.config.ConfigProblem;
import org.dandelionbeam.config.ConfigStatus;
import org.dandelionbeam.config.wiring.ConfigFiles;
import org.dandelionbeam.config.wiring.ConfigManager;
import org.dandelionbeam.entry.wiring.EntryContext.AdminRequest;
import org.dandelionbeam.entry.wiring.EntryContext.AdminResponse;
import org.dandelionbeam.entry.wiring.Responses;

/** Handlers of operators' requests that show, compare and apply configurations. */
final class ConfigHandlers {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final String PROBLEM = "application/problem+json";

  private final ConfigManager config;

  ConfigHandlers(ConfigManager config) {
    this.config = config;
  }

  CompletableFuture<AdminResponse> show() {
    return config.status().thenApply(status -> AdminRoutes.json(summary(status)));
  }

  CompletableFuture<AdminResponse> diff(AdminRequest call) {
    Change change = Change.parse(call.body());
    ConfigFiles.Loaded loaded = ConfigFiles.parse(change.texts());
    if (!loaded.problems().isEmpty()) {
      return CompletableFuture.completedFuture(problems(loaded.problems()));
    }
    return config.diff(loaded.tree()).thenApply(lines -> AdminRoutes.json(Map.of("diff", lines)));
  }

  CompletableFuture<AdminResponse> apply(AdminRequest call) {
    Change change = Change.parse(call.body());
    ConfigFiles.Loaded loaded = ConfigFiles.parse(change.texts());
    if (!loaded.problems().isEmpty()) {
      return CompletableFuture.completedFuture(problems(loaded.problems()));
    }
    return config
        .apply(loaded.tree(), change.expectedRevision())
        .thenApply(ConfigHandlers::replyOf);
  }

  static Map<String, Object> summary(ConfigStatus status) {
    Map<String, Object> shown = new LinkedHashMap<>();
    shown.put("revision", status.revision());
    shown.put("ageSeconds", Duration.ofNanos(status.ageNanos()).toSeconds());
    shown.put("heard", status.newestRevision());
    shown.put("refused", status.refusedRevision());
    shown.put("problems", status.problems().stream().map(ConfigHandlers::format).toList());
    shown.put("behind", status.total());
    return shown;
  }

  private static AdminResponse replyOf(ApplyResult result) {
    if (result instanceof ApplyResult.Accepted accepted) {
      return AdminRoutes.json(Map.of("revision", accepted.revision()));
    }
    if (result instanceof ApplyResult.Superseded superseded) {
      return AdminRoutes.json(Map.of("revision", superseded.revision(), "superseded", true));
    }
    if (result instanceof ApplyResult.Refused refused) {
      return problems(refused.problems());
    }
    if (result instanceof ApplyResult.Conflict conflict) {
      String detail = "revision " + conflict.revision() + " is in force";
      ObjectNode body = Responses.problemBody(ErrorCode.CONFLICT, Verdict.NOT_RUN, detail);
      body.put("revision", conflict.revision());
      conflict.diff().forEach(body.putArray("diff")::add);
      return new AdminResponse(ErrorCode.CONFLICT.httpStatus(), PROBLEM, body);
    }
    ApplyResult.Unavailable unavailable = (ApplyResult.Unavailable) result;
    ErrorCode code = ErrorCode.STORE_UNAVAILABLE;
    Object body = Responses.problemBody(code, unavailable.verdict(), unavailable.detail());
    return new AdminResponse(code.httpStatus(), PROBLEM, body);
  }

  private static AdminResponse problems(List<ConfigProblem> problems) {
    ErrorCode code = ErrorCode.INVALID_CONFIG;
    List<String> lines = problems.stream().map(ConfigHandlers::format).toList();
    ObjectNode body = Responses.problemBody(code, Verdict.NOT_RUN, String.join("; ", lines));
    lines.forEach(body.putArray("problems")::add);
    return new AdminResponse(code.httpStatus(), PROBLEM, body);
  }

  private static String format(ConfigProblem problem) {
    return "%s:%d: %s: expected %s, found %s"
        .formatted(
            problem.file(), problem.line(), problem.path(), problem.expected(), problem.found());
  }

  /**
   * Change of the configuration, as sent by an operator.
   *
   * @param texts YAML texts of the base and the overlays
   * @param expectedRevision revision that the change is based on
   */
  private record Change(List<ConfigFiles.Text> texts, long expectedRevision) {
    static Change parse(byte[] body) {
      JsonNode root = read(body);
      if (!root.path("base").isTextual() || !root.path("expectedRevision").canConvertToLong()) {
        throw new FleetException(
            ErrorCode.INVALID_BODY,
            "the body must have base (YAML text) and expectedRevision (integer)");
      }
      List<ConfigFiles.Text> texts = new ArrayList<>();
      texts.add(new ConfigFiles.Text("base", root.path("base").asText()));
      int number = 1;
      for (JsonNode overlay : root.path("overlays")) {
        texts.add(new ConfigFiles.Text("overlay-" + number, overlay.asText()));
        number++;
      }
      return new Change(texts, root.path("expectedRevision").asLong());
    }

    private static JsonNode read(byte[] body) {
      try {
        return MAPPER.readTree(body);
      } catch (IOException e) {
        throw new FleetException(ErrorCode.MALFORMED_REQUEST, "the body is not JSON");
      }
    }
  }
}
