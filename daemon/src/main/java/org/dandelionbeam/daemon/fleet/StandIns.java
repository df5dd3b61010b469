package org.dandelionbeam.daemon.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.dandelionbeam.config.Configuration;
import org.dandelionbeam.config.ServiceType;
import org.dandelionbeam.config.Upstream;
import org.dandelionbeam.standins.EngineStandIn;
import org.dandelionbeam.standins.LedgerStandIn;

/** Stand-ins that simulate the upstreams of a configuration over HTTP on loopback. */
public final class StandIns implements AutoCloseable {
  private static final int WARM_AFTER_COMPLETIONS = 10;

  private final Map<String, EngineStandIn> engines = new LinkedHashMap<>();
  private final Map<String, LedgerStandIn> ledgers = new LinkedHashMap<>();

  private StandIns() {}

  /**
   * Starts the stand-ins.
   *
   * @param configuration names, models and limits of the upstreams
   * @param pace speed of the stand-ins
   * @return the running stand-ins
   */
  public static StandIns start(Configuration configuration, Pace pace) {
    StandIns standIns = new StandIns();
    List<Upstream> upstreams = configuration.upstreams();
    for (int i = 0; i < upstreams.size(); i++) {
      standIns.start(configuration, upstreams.get(i), pace, i + 1);
    }
    return standIns;
  }

  /**
   * Returns the stand-in of an engine.
   *
   * @param name name of the upstream
   * @return its stand-in, null if the upstream is no engine
   */
  public EngineStandIn engine(String name) {
    return engines.get(name);
  }

  /**
   * Returns the stand-ins of all engines by name of the upstream.
   *
   * @return an immutable copy
   */
  public Map<String, EngineStandIn> engines() {
    return Map.copyOf(engines);
  }

  /**
   * Returns the stand-ins of all plain services by name of the upstream.
   *
   * @return an immutable copy
   */
  public Map<String, LedgerStandIn> ledgers() {
    return Map.copyOf(ledgers);
  }

  /**
   * Returns the port on which the stand-in of an upstream listens.
   *
   * @param name name of the upstream
   * @return the TCP port
   */
  public int port(String name) {
    return engines.containsKey(name) ? engines.get(name).port() : ledgers.get(name).port();
  }

  @Override
  public void close() {
    List<AutoCloseable> all = new ArrayList<>(engines.values());
    all.addAll(ledgers.values());
    for (AutoCloseable standIn : all) {
      try {
        standIn.close();
      } catch (Exception e) {
        throw new IllegalStateException(e);
      }
    }
  }

  private void start(Configuration configuration, Upstream upstream, Pace pace, int seed) {
    boolean isModel =
        configuration.service(upstream.service()).orElseThrow().type() == ServiceType.MODEL;
    if (!isModel) {
      ledgers.put(upstream.name(), LedgerStandIn.start(0, pace.callTime()));
      return;
    }
    String[] models =
        configuration.models().entrySet().stream()
            .filter(model -> upstream.models().contains(model.getValue()))
            .map(Map.Entry::getKey)
            .toArray(String[]::new);
    engines.put(
        upstream.name(),
        EngineStandIn.builder()
            .models(models)
            .seed(seed)
            .tokensPerSecond(pace.tokensPerSecond())
            .batchSlowdown(pace.batchSlowdown())
            .limits(upstream.window(), upstream.window())
            .cold(
                pace.coldEngines().contains(upstream.name()),
                upstream.coldLimit(),
                WARM_AFTER_COMPLETIONS)
            .checksFencing(upstream.checksOrders())
            .start());
  }

  /**
   * Speed of the stand-ins.
   *
   * @param tokensPerSecond tokens per second of a stream that runs alone
   * @param batchSlowdown fraction of that rate which each additional concurrent stream costs
   * @param callTime duration of a call of a plain service
   * @param coldEngines names of the engines that start cold
   */
  public record Pace(
      double tokensPerSecond, double batchSlowdown, Duration callTime, List<String> coldEngines) {

    /**
     * Returns a speed at which a user can read along.
     *
     * @param coldEngines names of the engines that start cold
     * @return the speed
     */
    public static Pace moderate(List<String> coldEngines) {
      return new Pace(200, 0.02, Duration.ofMillis(5), List.copyOf(coldEngines));
    }
  }
}
