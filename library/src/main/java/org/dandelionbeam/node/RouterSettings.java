package org.dandelionbeam.node;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.List;
import org.dandelionbeam.base.FailureDomain;
import org.dandelionbeam.base.NodeId;

/** Settings of a router that are fixed for the lifetime of its process. */
public final class RouterSettings {
  private final NodeId node;
  private final String host;
  private final int callerPort;
  private final int peerPort;
  private final FailureDomain domain;
  private final List<String> seeds;
  private final String platform;
  private final byte[] fleetKey;
  private final long seed;
  private final Duration drainTimeout;

  private RouterSettings(Builder builder) {
    host = requireNonNull(builder.host, "host");
    callerPort = builder.callerPort;
    peerPort = builder.peerPort;
    node = NodeId.of(host + ":" + peerPort);
    domain = requireNonNull(builder.domain, "domain");
    seeds = List.copyOf(builder.seeds);
    platform = requireNonNull(builder.platform, "platform");
    fleetKey = builder.fleetKey.clone();
    seed = builder.seed;
    drainTimeout = requireNonNull(builder.drainTimeout, "drainTimeout");
  }

  /**
   * Creates a builder.
   *
   * @return a builder with default values
   */
  public static Builder builder() {
    return new Builder();
  }

  /**
   * Returns the id of the node, which is its peer address.
   *
   * @return host and peer port
   */
  public NodeId node() {
    return node;
  }

  /**
   * Returns the IP address to listen on.
   *
   * @return the address as text
   */
  public String host() {
    return host;
  }

  /**
   * Returns the TCP port for callers and operators.
   *
   * @return the port
   */
  public int callerPort() {
    return callerPort;
  }

  /**
   * Returns the TCP port for peers.
   *
   * @return the port
   */
  public int peerPort() {
    return peerPort;
  }

  /**
   * Returns the failure domain of the VM.
   *
   * @return the domain
   */
  public FailureDomain domain() {
    return domain;
  }

  /**
   * Returns the addresses of the peers to contact first.
   *
   * @return addresses as host:port
   */
  public List<String> seeds() {
    return seeds;
  }

  /**
   * Returns the base URI of the platform's key-value store.
   *
   * @return the URI
   */
  public String platform() {
    return platform;
  }

  /**
   * Returns the secret of the fleet.
   *
   * @return a copy of the secret
   */
  public byte[] fleetKey() {
    return fleetKey.clone();
  }

  /**
   * Returns the seed of the random source.
   *
   * @return the seed
   */
  public long seed() {
    return seed;
  }

  /**
   * Returns how long a stopping router waits for running requests to end.
   *
   * @return the timeout
   */
  public Duration drainTimeout() {
    return drainTimeout;
  }

  /** Builder of {@link RouterSettings}. */
  public static final class Builder {
    private String host = "127.0.0.1";
    private int callerPort;
    private int peerPort;
    private FailureDomain domain;
    private List<String> seeds = List.of();
    private String platform;
    private byte[] fleetKey = new byte[0];
    private long seed;
    private Duration drainTimeout = Duration.ofSeconds(30);

    private Builder() {}

    /**
     * Sets the IP address to listen on.
     *
     * @param value the address as text
     * @return this builder
     */
    public Builder host(String value) {
      host = value;
      return this;
    }

    /**
     * Sets the two TCP ports.
     *
     * @param caller port for callers and operators
     * @param peer port for peers
     * @return this builder
     */
    public Builder ports(int caller, int peer) {
      callerPort = caller;
      peerPort = peer;
      return this;
    }

    /**
     * Sets the failure domain.
     *
     * @param value the domain
     * @return this builder
     */
    public Builder domain(FailureDomain value) {
      domain = value;
      return this;
    }

    /**
     * Sets the addresses of the peers to contact first.
     *
     * @param value addresses as host:port
     * @return this builder
     */
    public Builder seeds(List<String> value) {
      seeds = value;
      return this;
    }

    /**
     * Sets the base URI of the platform's key-value store.
     *
     * @param value the URI
     * @return this builder
     */
    public Builder platform(String value) {
      platform = value;
      return this;
    }

    /**
     * Sets the secret of the fleet.
     *
     * @param value the secret
     * @return this builder
     */
    public Builder fleetKey(byte[] value) {
      fleetKey = value.clone();
      return this;
    }

    /**
     * Sets the seed of the random source.
     *
     * @param value the seed
     * @return this builder
     */
    public Builder seed(long value) {
      seed = value;
      return this;
    }

    /**
     * Sets how long a stopping router waits for running requests to end.
     *
     * @param value the timeout
     * @return this builder
     */
    public Builder drainTimeout(Duration value) {
      drainTimeout = value;
      return this;
    }

    /**
     * Builds the settings.
     *
     * @return the settings
     */
    public RouterSettings build() {
      return new RouterSettings(this);
    }
  }
}
