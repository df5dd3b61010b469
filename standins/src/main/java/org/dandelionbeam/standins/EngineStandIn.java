package org.dandelionbeam.standins;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Set;
import java.util.TreeSet;

/**
 * Model engine that batches continuously, caches prompt prefixes, starts cold and shows faults on
 * demand.
 */
public final class EngineStandIn implements AutoCloseable {
  private final EngineState state;

  private EngineStandIn(Builder builder) {
    state = new EngineState(builder);
  }

  /**
   * Starts the settings of an engine.
   *
   * @return a builder with usual values
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
   * Returns how often a request started to run.
   *
   * @param requestId its request id
   * @return 0 if it never started
   */
  public int runsOfRequest(String requestId) {
    return state.server().callOnLoop(() -> state.runsOfRequest(requestId));
  }

  /**
   * Returns how many requests started to run.
   *
   * @return the count since the start, with repeated ones
   */
  public long requestRuns() {
    return state.server().callOnLoop(state::requestRuns);
  }

  /**
   * Returns how many requests run or wait.
   *
   * @return the count now, without lag
   */
  public int inFlight() {
    return state.server().callOnLoop(state::inFlight);
  }

  /**
   * Returns the most requests that ran or waited at once while the engine was cold.
   *
   * @return the maximum since the start
   */
  public int maxInFlightWhileCold() {
    return state.server().callOnLoop(() -> state.cold().maxInFlightWhileCold());
  }

  /**
   * Returns how often the engine fell over because it had more than its cold limit.
   *
   * @return the count since the start
   */
  public int coldOverloads() {
    return state.server().callOnLoop(() -> state.cold().overloads());
  }

  /**
   * Tells whether the engine is cold.
   *
   * @return true until enough requests completed
   */
  public boolean isCold() {
    return state.server().callOnLoop(() -> state.cold().isCold());
  }

  /**
   * Returns how many exchanges were cancelled by call.
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
   * Returns how many orders the engine obeyed.
   *
   * @return the count since the start
   */
  public int ordersExecuted() {
    return state.server().callOnLoop(() -> state.orders().executed());
  }

  /**
   * Returns the models that the engine serves.
   *
   * @return a copy
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
   * Switches a fault on, in place of the one before.
   *
   * @param plan the fault
   */
  public void arm(FaultPlan plan) {
    state.server().arm(plan);
  }

  /** Switches all faults off. */
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
     * Sets the seed of answers and gaps.
     *
     * @param number any number
     * @return this builder
     */
    public Builder seed(long number) {
      seed = number;
      return this;
    }

    /**
     * Sets the rate of one exchange that runs alone.
     *
     * @param rate tokens a second
     * @return this builder
     */
    public Builder tokensPerSecond(double rate) {
      tokensPerSecond = rate;
      return this;
    }

    /**
     * Sets the rate at which prompt tokens outside the cache are read.
     *
     * @param rate tokens a second
     * @return this builder
     */
    public Builder prefillTokensPerSecond(double rate) {
      prefillTokensPerSecond = rate;
      return this;
    }

    /**
     * Sets by how much each further exchange lengthens a step.
     *
     * @param share share of the length of a step alone
     * @return this builder
     */
    public Builder batchSlowdown(double share) {
      batchSlowdown = share;
      return this;
    }

    /**
     * Sets the size of the batch and of the queue before it.
     *
     * @param running most exchanges in the batch
     * @param queued most exchanges that wait; more are refused with a proof that they did not run
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
     * @param limit most requests in flight that it bears while cold
     * @param completions completed requests until it is warm
     * @return this builder
     */
    public Builder cold(boolean atStart, int limit, int completions) {
      cold = atStart;
      coldLimit = limit;
      coldCompletions = completions;
      return this;
    }

    /**
     * Sets the memory of the prefix cache.
     *
     * @param blocks blocks of 16 prompt tokens
     * @return this builder
     */
    public Builder cacheBlocks(int blocks) {
      cacheBlocks = blocks;
      return this;
    }

    /**
     * Sets whether orders with an old fencing number are refused.
     *
     * @param checks false to obey them
     * @return this builder
     */
    public Builder checksFencing(boolean checks) {
      checksFencing = checks;
      return this;
    }

    /**
     * Sets how late load reports and cache events are.
     *
     * @param lag the lag
     * @return this builder
     */
    public Builder reportLag(Duration lag) {
      reportLag = requireNonNull(lag, "lag");
      return this;
    }

    /**
     * Sets how long a stream without a reader is kept.
     *
     * @param time the time from the disconnect
     * @return this builder
     */
    public Builder disconnectedStreamTimeout(Duration time) {
      disconnectedStreamTimeout = requireNonNull(time, "time");
      return this;
    }

    /**
     * Sets the store that models are loaded from.
     *
     * @param store a store that engines may share
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
