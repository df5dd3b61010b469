package org.dandelionbeam.upstream.wiring;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.apache.commons.codec.digest.MurmurHash3;
import org.dandelionbeam.base.ModelId;
import org.dandelionbeam.upstream.LoadReport;

/**
 * State that an engine reports in its response to {@code GET /v1/load}.
 *
 * @param load its load
 * @param models models of the configuration that the engine has loaded; empty if it does not say
 */
public record EngineState(LoadReport load, Optional<Set<ModelId>> models) {
  /** Path of the request. */
  public static final String PATH = "/v1/load";

  /** Checks that no component is null. */
  public EngineState {
    requireNonNull(load, "load");
    requireNonNull(models, "models");
  }

  /**
   * Parses the response of an engine.
   *
   * @param reply the response
   * @param names models of the configuration by name
   * @return the state, empty if the response does not have the expected form
   */
  public static Optional<EngineState> of(EngineReply reply, Map<String, ModelId> names) {
    JsonNode body = reply.body();
    JsonNode inFlight = body.path("inFlight");
    JsonNode queued = body.path("queued");
    JsonNode cold = body.path("cold");
    boolean valid = reply.isSuccess() && isCount(inFlight) && isCount(queued) && cold.isBoolean();
    if (!valid || !isBootId(body.path("bootId"))) {
      return Optional.empty();
    }
    LoadReport load =
        new LoadReport(
            inFlight.asInt(), queued.asInt(), cold.asBoolean(), bootId(body.path("bootId")));
    return Optional.of(new EngineState(load, models(body.path("models"), names)));
  }

  static boolean isBootId(JsonNode node) {
    return node.isTextual() || node.canConvertToLong();
  }

  static long bootId(JsonNode node) {
    return node.isTextual() ? hash(node.asText()) : node.asLong();
  }

  static long hash(String text) {
    return MurmurHash3.hash128x64(text.getBytes(StandardCharsets.UTF_8))[0];
  }

  private static boolean isCount(JsonNode node) {
    return node.isIntegralNumber() && node.canConvertToInt() && node.asInt() >= 0;
  }

  private static Optional<Set<ModelId>> models(JsonNode list, Map<String, ModelId> names) {
    if (!list.isArray()) {
      return Optional.empty();
    }
    Set<ModelId> models = new HashSet<>();
    for (JsonNode name : list) {
      ModelId model = names.get(name.asText());
      if (model != null) {
        models.add(model);
      }
    }
    return Optional.of(Set.copyOf(models));
  }
}
