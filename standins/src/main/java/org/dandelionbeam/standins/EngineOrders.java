package org.dandelionbeam.standins;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Set;
import java.util.TreeSet;

/** Executes orders to load and unload models, with or without a check of their fencing numbers. */
final class EngineOrders {
  private final Set<String> models;
  private final Set<String> loading = new TreeSet<>();
  private final boolean checksFencing;
  private long newestFencing;
  private int executed;

  EngineOrders(Set<String> models, boolean checksFencing) {
    this.models = new TreeSet<>(models);
    this.checksFencing = checksFencing;
  }

  boolean serves(String model) {
    return models.contains(model);
  }

  Set<String> models() {
    return models;
  }

  int executed() {
    return executed;
  }

  /** Handles an order; calls {@code startLoading} if the model is neither loaded nor loading. */
  Answer handle(JsonNode order, Runnable startLoading) {
    long fencing = order.path("fencing").asLong();
    String model = order.path("model").asText("");
    if (checksFencing && fencing < newestFencing) {
      return Answer.of(409, Json.object().put("newest", newestFencing));
    }
    newestFencing = Math.max(newestFencing, fencing);
    return switch (order.path("action").asText("")) {
      case "load" -> load(model, startLoading);
      case "unload" -> unload(model);
      default -> Answer.of(400, Json.object().put("error", "action must be load or unload"));
    };
  }

  void finishLoading(String model) {
    if (loading.remove(model)) {
      models.add(model);
    }
  }

  private Answer load(String model, Runnable startLoading) {
    executed++;
    if (!models.contains(model) && loading.add(model)) {
      startLoading.run();
    }
    return Answer.of(202, Json.object().put("state", serves(model) ? "loaded" : "loading"));
  }

  private Answer unload(String model) {
    executed++;
    loading.remove(model);
    models.remove(model);
    return Answer.of(202, Json.object().put("state", "unloaded"));
  }
}
