package org.dandelionbeam.upstream;

import static java.util.Objects.requireNonNull;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.dandelionbeam.base.ModelId;
import org.dandelionbeam.base.ServiceId;
import org.dandelionbeam.base.TeamId;

/**
 * Estimates the cost of a request from the measured costs of earlier requests.
 *
 * <p>It keeps a running quantile for each combination of team, service, request kind and model, and
 * another for each combination of service, kind and model, which serves teams without observations.
 * The number of both is bounded; the least recently used is evicted first. Not thread-safe.
 */
public final class CostEstimator {
  private static final int DEFAULT_MAX_KEYS = 4096;
  private static final int MIN_OBSERVATIONS = 3;
  private static final double DEFAULT_COST = 1.0;

  private final Map<TeamKey, RunningQuantile> byTeam;
  private final Map<ServiceKey, RunningQuantile> byService;

  private CostEstimator(int maxKeys) {
    byTeam = new BoundedMap<>(maxKeys);
    byService = new BoundedMap<>(maxKeys);
  }

  /**
   * Returns an estimator of the default size.
   *
   * @return an estimator without observations
   */
  public static CostEstimator of() {
    return of(DEFAULT_MAX_KEYS);
  }

  /**
   * Returns an estimator of the given size.
   *
   * @param maxKeys largest number of estimates by team, and also of estimates by service
   * @return an estimator without observations
   */
  public static CostEstimator of(int maxKeys) {
    return new CostEstimator(maxKeys);
  }

  /**
   * Estimates the cost of a request.
   *
   * @param team the caller's team
   * @param service the service
   * @param kind index of the kind in the service
   * @param model the model, empty for plain services
   * @param hint rough cost that the request states, 0 if none; used only while too few costs were
   *     observed
   * @return a positive cost in the cost unit of the service
   */
  public double estimate(
      TeamId team, ServiceId service, int kind, Optional<ModelId> model, double hint) {
    ServiceKey key = new ServiceKey(service, kind, modelNumber(model));
    RunningQuantile ofTeam = byTeam.get(new TeamKey(requireNonNull(team, "team"), key));
    if (ofTeam != null && ofTeam.observations() >= MIN_OBSERVATIONS) {
      return ofTeam.value();
    }
    RunningQuantile ofService = byService.get(key);
    if (ofService != null && ofService.observations() >= MIN_OBSERVATIONS) {
      return ofService.value();
    }
    return hint > 0 && Double.isFinite(hint) ? hint : DEFAULT_COST;
  }

  /**
   * Records the measured cost of a request.
   *
   * @param team the caller's team
   * @param service the service
   * @param kind index of the kind in the service
   * @param model the model, empty for plain services
   * @param cost measured cost; ignored unless positive and finite
   */
  public void observed(
      TeamId team, ServiceId service, int kind, Optional<ModelId> model, double cost) {
    if (!(cost > 0) || Double.isInfinite(cost)) {
      return;
    }
    ServiceKey key = new ServiceKey(service, kind, modelNumber(model));
    byTeam.computeIfAbsent(new TeamKey(team, key), k -> new RunningQuantile()).observe(cost);
    byService.computeIfAbsent(key, k -> new RunningQuantile()).observe(cost);
  }

  /**
   * Returns the number of estimates that are kept.
   *
   * @return the count of estimates by team and by service together
   */
  public int size() {
    return byTeam.size() + byService.size();
  }

  private static int modelNumber(Optional<ModelId> model) {
    return model.map(ModelId::number).orElse(-1);
  }

  private record ServiceKey(ServiceId service, int kind, int model) {}

  private record TeamKey(TeamId team, ServiceKey key) {}

  /** Map that evicts its least recently used entry when it is full. */
  private static final class BoundedMap<K, V> extends LinkedHashMap<K, V> {
    private static final long serialVersionUID = 1L;
    private static final float LOAD_FACTOR = 0.75f;
    private static final int INITIAL_CAPACITY = 16;

    private final int maxEntries;

    BoundedMap(int maxEntries) {
      super(INITIAL_CAPACITY, LOAD_FACTOR, true);
      this.maxEntries = maxEntries;
    }

    @Override
    protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
      return size() > maxEntries;
    }
  }
}
