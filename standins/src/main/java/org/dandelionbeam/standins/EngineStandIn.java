package org.dandelionbeam.standins;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Set;
import java.util.TreeSet;

/**
 * Model engine with continuous batching, a cache of prompt prefixes, a cold start and fault
 * injection.
 */
public final class EngineStandIn implements AutoCloseable {
  private final EngineState state;

  private EngineStandIn(Builder builder) {
    state = new EngineState(builder);
  }

  /**
   * Creates a builder of an engine.
   *
   * @return a builder with default values
   */
  public static Builder builder() {
    return new Builder();
  }

  /**
   * Returns the port that the engine listens on.
   *
   * @return a TCP port on loopback
   */
  public int port() {
    return state.server().port();
  }

  /**
   * Returns how often the engine started to run a request.
   *
   * @param requestId value of the request's X-Request-Id header
   * @return 0 if it never started
   */
  public int runsOfRequest(String requestId) {
    return state.server().callOnLoop(() -> state.runsOfRequest(requestId));
  }

  /**
   * Returns how many times the engine started to run a request.
   *
   * @return the count since the start, repeated runs of a request included
   */
  public long requestRuns() {
    return state.server().callOnLoop(state::requestRuns);
  }

  /**
   * Returns how many requests are running or queued.
   *
   * @return the current count, without the lag of load reports
   */
  public int inFlight() {
    return state.server().callOnLoop(state::inFlight);
  }

  /**
   * Returns the largest number of requests that ran or were queued at once while the engine was
   * cold.
   *
   * @return the maximum since the start
   */
  public int maxInFlightWhileCold() {
    return state.server().callOnLoop(() -> state.cold().maxInFlightWhileCold());
  }

  /**
   * Returns how often the engine restarted because it had more requests than it takes while cold.
   *
   * @return the count since the start
   */
  public int coldOverloads() {
    return state.server().callOnLoop(() -> state.cold().overloads());
  }

  /**
   * Tells whether the engine is cold.
   *
   * @return true until the configured number of requests has completed since it turned cold
   */
  public boolean isCold() {
    return state.server().callOnLoop(() -> state.cold().isCold());
  }

  /**
   * Returns how many exchanges were cancelled by a DELETE request.
   *
   * @return the count since the start
   */
  public int cancelled() {
    return state.server().callOnLoop(state::cancelled);
  }

  /**
   * Returns how many exchanges completed.
   *
   * @return the count since the start
   */
  public long completed() {
    return state.server().callOnLoop(state::completed);
  }

  /**
   * Returns how many orders to load or unload a model the engine executed.
   *
   * @return the count since the start
   */
  public int ordersExecuted() {
    return state.server().callOnLoop(() -> state.orders().executed());
  }

  /**
   * Returns the models that the engine serves.
   *
   * @return a copy of the names of the loaded models
   */
  public Set<String> models() {
    return state.server().callOnLoop(() -> new TreeSet<>(state.orders().models()));
  }

  /**
   * Returns how many connections are open.
   *
   * @return the count now
   */
  public int openConnections() {
    return state.server().openConnections();
  }

  /**
   * Activates a fault, which replaces the active one.
   *
   * @param plan the fault and the requests that it affects
   */
  public void arm(FaultPlan plan) {
    state.server().arm(plan);
  }

  /** Deactivates all faults. */
  public void clearFaults() {
    state.server().clearFaults();
  }

  @Override
  public void close() {
    state.server().close();
  }

  /** Builder of an {@link EngineStandIn}. */
  public static final class Builder {
    private Set<String> models = Set.of("camp");
    private int port;
    private long seed = 1;
    private double tokensPerSecond = 200;
    private double prefillTokensPerSecond = 20_000;
    private double batchSlowdown = 0.05;
    private int maxRunning = 64;
    private int maxQueued = 1_024;
    private boolean cold;
    private int coldLimit = 2;
    private int coldCompletions = 10;
    private int cacheBlocks = 4_096;
    private boolean checksFencing = true;
    private Duration reportLag = Duration.ofMillis(500);
    private Duration disconnectedStreamTimeout = Duration.ofSeconds(5);
    private WeightStore weights = WeightStore.of(Duration.ofSeconds(1));

    private Builder() {}

    /**
     * Sets the models.
     *
     * @param names models that are loaded at the start
     * @return this builder
     */
    public Builder models(String... names) {
      models = Set.of(names);
      return this;
    }

    /**
     * Sets the port.
     *
     * @param number TCP port, 0 for any free one
     * @return this builder
     */
    public Builder port(int number) {
      port = number;
      return this;
    }

    /**
     * Sets the seed of the generated answers and of the gaps in the cache events.
     *
     * @param number any number
     * @return this builder
     */
    public Builder seed(long number) {
      seed = number;
      return this;
    }

    /**
     * Sets the rate at which the only running exchange generates tokens.
     *
     * @param rate generated tokens per second
     * @return this builder
     */
    public Builder tokensPerSecond(double rate) {
      tokensPerSecond = rate;
      return this;
    }

    /**
     * Sets the rate at which prompt tokens that are not cached are prefilled.
     *
     * @param rate prompt tokens per second
     * @return this builder
     */
    public Builder prefillTokensPerSecond(double rate) {
      prefillTokensPerSecond = rate;
      return this;
    }

    /**
     * Sets by how much each further running exchange lengthens a generation step.
     *
     * @param share fraction of the length of a step with one exchange
     * @return this builder
     */
    public Builder batchSlowdown(double share) {
      batchSlowdown = share;
      return this;
    }

    /**
     * Sets the capacity of the batch and of its queue.
     *
     * @param running largest number of exchanges in the batch
     * @param queued limit of the queue, from which requests are refused with an X-Not-Run header
     * @return this builder
     */
    public Builder limits(int running, int queued) {
      maxRunning = running;
      maxQueued = queued;
      return this;
    }

    /**
     * Sets the cold start.
     *
     * @param atStart whether the engine starts cold
     * @param limit largest number of requests in flight while cold; one more restarts it
     * @param completions number of completed requests until it is warm
     * @return this builder
     */
    public Builder cold(boolean atStart, int limit, int completions) {
      cold = atStart;
      coldLimit = limit;
      coldCompletions = completions;
      return this;
    }

    /**
     * Sets the capacity of the prefix cache.
     *
     * @param blocks number of blocks of 16 prompt tokens
     * @return this builder
     */
    public Builder cacheBlocks(int blocks) {
      cacheBlocks = blocks;
      return this;
    }

    /**
     * Sets whether orders with an old fencing number are refused.
     *
     * @param checks false to execute them
     * @return this builder
     */
    public Builder checksFencing(boolean checks) {
      checksFencing = checks;
      return this;
    }

    /**
     * Sets the delay of load reports and cache events.
     *
     * @param lag time from a change until it is reported
     * @return this builder
     */
    public Builder reportLag(Duration lag) {
      reportLag = requireNonNull(lag, "lag");
      return this;
    }

    /**
     * Sets how long a stream is kept while no connection reads it.
     *
     * @param time time from the disconnect or the end of the stream
     * @return this builder
     */
    public Builder disconnectedStreamTimeout(Duration time) {
      disconnectedStreamTimeout = requireNonNull(time, "time");
      return this;
    }

    /**
     * Sets the store that models are loaded from.
     *
     * @param store the store, which several engines may share
     * @return this builder
     */
    public Builder weights(WeightStore store) {
      weights = requireNonNull(store, "store");
      return this;
    }

    /**
     * Starts the engine.
     *
     * @return the running engine
     */
    public EngineStandIn start() {
      return new EngineStandIn(this);
    }

    int port() {
      return port;
    }

    long seed() {
      return seed;
    }

    Duration reportLag() {
      return reportLag;
    }

    Duration disconnectedStreamTimeout() {
      return disconnectedStreamTimeout;
    }

    WeightStore weights() {
      return weights;
    }

    int maxQueued() {
      return maxQueued;
    }

    Batch newBatch() {
      return new Batch(tokensPerSecond, batchSlowdown, maxRunning);
    }

    ColdStart newColdStart() {
      return new ColdStart(coldLimit, coldCompletions, cold);
    }

    PrefixCache newCache() {
      return new PrefixCache(cacheBlocks, reportLag.toNanos(), seed);
    }

    EngineOrders newOrders() {
      return new EngineOrders(models, checksFencing);
    }

    Duration prefillTime(int words) {
      return Duration.ofNanos((long) (words * 1e9 / prefillTokensPerSecond));
    }
  }
}
