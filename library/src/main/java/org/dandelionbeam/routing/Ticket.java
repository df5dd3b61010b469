package org.dandelionbeam.routing;

import static java.util.Objects.requireNonNull;

import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.dandelionbeam.base.FailureDomain;

/** A request that the scheduler assigns to an upstream. Not thread-safe. */
public final class Ticket {
  private static final TeamName UNKNOWN_TEAM = TeamName.of("unknown");

  private long number;
  private final ServiceName service;
  private final TeamName team;
  private final RequestContent content;
  private final Optional<FailureDomain> domain;
  private final long arrivedNanos;
  private final long objectiveNanos;
  private final long deadlineNanos;
  private final long firstOutputTimeoutNanos;
  private final boolean resumable;
  private final Set<Integer> excluded = new HashSet<>();
  private Optional<SoftwareVersion> requiredVersion;
  private long submittedNanos;

  private Ticket(Builder builder) {
    number = builder.number;
    service = requireNonNull(builder.service, "service");
    team = requireNonNull(builder.team, "team");
    content = new RequestContent(builder.digest, builder.prompt);
    domain = builder.domain;
    resumable = builder.resumable;
    requiredVersion = builder.requiredVersion;
    arrivedNanos = builder.arrivedNanos;
    submittedNanos = builder.submittedNanos.orElse(builder.arrivedNanos);
    objectiveNanos = builder.objectiveNanos;
    deadlineNanos = builder.deadlineNanos;
    firstOutputTimeoutNanos =
        Math.min(builder.firstOutputTimeoutNanos, builder.deadlineNanos - builder.arrivedNanos);
  }

  /**
   * Creates a builder.
   *
   * @param number number of the request, unique at this router
   * @return the builder
   */
  public static Builder builder(long number) {
    return new Builder(number);
  }

  /**
   * Returns a ticket that stands for a request whose grant is taken over from another scheduler.
   *
   * @param number number of the ticket, unique at this router
   * @param service service of the request
   * @param digest digest of the request, empty if it isn't known
   * @param nowNanos monotonic time
   * @return the ticket
   */
  public static Ticket adopted(
      long number, ServiceName service, Optional<RequestDigest> digest, long nowNanos) {
    return builder(number)
        .request(service, UNKNOWN_TEAM, PromptProfile.NONE)
        .digest(digest)
        .times(nowNanos, nowNanos, nowNanos)
        .build();
  }

  /**
   * Returns the number of the submission.
   *
   * @return number that is unique at this router
   */
  public long number() {
    return number;
  }

  /**
   * Returns the service.
   *
   * @return service that the request goes to
   */
  public ServiceName service() {
    return service;
  }

  /**
   * Returns the team.
   *
   * @return team that the request belongs to
   */
  public TeamName team() {
    return team;
  }

  /**
   * Returns what the upstream gets to work on.
   *
   * @return the content
   */
  public RequestContent content() {
    return content;
  }

  /**
   * Returns the profile of the request's prompt.
   *
   * @return the profile, {@link PromptProfile#NONE} for a plain service
   */
  public PromptProfile prompt() {
    return content.prompt();
  }

  /**
   * Returns the cost of the request in the usage and demand of its team.
   *
   * @return tokens of a model request, 1 for a plain service
   */
  public long cost() {
    return prompt().isModelRequest() ? prompt().costTokens() : 1;
  }

  /**
   * Returns the failure domain that the request is sent from.
   *
   * @return domain of the router of the caller, empty if it doesn't matter
   */
  public Optional<FailureDomain> domain() {
    return domain;
  }

  /**
   * Returns when the request arrived.
   *
   * @return monotonic time
   */
  public long arrivedNanos() {
    return arrivedNanos;
  }

  /**
   * Records that the request is submitted again after its upstream failed.
   *
   * @param newNumber number that replaces the earlier one
   * @param nowNanos monotonic time
   */
  public void recordResubmission(long newNumber, long nowNanos) {
    number = newNumber;
    submittedNanos = nowNanos;
  }

  /**
   * Returns the time since which the request waits for an upstream.
   *
   * @return monotonic time of the arrival or of the last failure
   */
  public long submittedNanos() {
    return submittedNanos;
  }

  /**
   * Returns the time by which the route's latency objective wants a response.
   *
   * @return monotonic time
   */
  public long objectiveNanos() {
    return objectiveNanos;
  }

  /**
   * Returns the time until which the caller waits.
   *
   * @return monotonic time
   */
  public long deadlineNanos() {
    return deadlineNanos;
  }

  /**
   * Returns how long the caller waits for the first output.
   *
   * @return nanoseconds from the arrival, at most until the deadline
   */
  public long firstOutputTimeoutNanos() {
    return firstOutputTimeoutNanos;
  }

  /**
   * Tells whether the response is a stream that another upstream may go on with.
   *
   * @return true if it matters which software version begins it
   */
  public boolean isResumable() {
    return resumable;
  }

  /**
   * Binds the request to a software version, as the caller has events of one.
   *
   * @param version version that began the stream
   */
  public void requireVersion(SoftwareVersion version) {
    requiredVersion = Optional.of(version);
  }

  /**
   * Returns the software version that alone may serve the request.
   *
   * @return the version, empty if any may
   */
  public Optional<SoftwareVersion> requiredVersion() {
    return requiredVersion;
  }

  /**
   * Tells whether the software of an upstream may serve the request.
   *
   * @param upstream the upstream
   * @return false if the request is bound to another version
   */
  public boolean isServedBy(UpstreamInstance upstream) {
    return requiredVersion.isEmpty() || requiredVersion.get().equals(upstream.version());
  }

  /**
   * Excludes an upstream that the request was sent to from further attempts.
   *
   * @param upstream number of the upstream
   */
  public void exclude(int upstream) {
    excluded.add(upstream);
  }

  /**
   * Returns the upstreams that are excluded.
   *
   * @return numbers of the upstreams
   */
  public Set<Integer> excluded() {
    return Set.copyOf(excluded);
  }

  /**
   * Tells whether an upstream is excluded.
   *
   * @param upstream number of the upstream
   * @return true if the request was sent to it already
   */
  public boolean isExcluded(int upstream) {
    return excluded.contains(upstream);
  }

  /** Builds a ticket. */
  public static final class Builder {
    private final long number;
    private ServiceName service;
    private TeamName team;
    private PromptProfile prompt = PromptProfile.NONE;
    private Optional<RequestDigest> digest = Optional.empty();
    private Optional<FailureDomain> domain = Optional.empty();
    private long arrivedNanos;
    private long objectiveNanos;
    private long deadlineNanos;
    private long firstOutputTimeoutNanos = Long.MAX_VALUE;
    private OptionalLong submittedNanos = OptionalLong.empty();
    private boolean resumable;
    private Optional<SoftwareVersion> requiredVersion = Optional.empty();

    private Builder(long number) {
      this.number = number;
    }

    /**
     * Sets the service, the team and the prompt.
     *
     * @param newService service that the request goes to
     * @param newTeam team that the request belongs to
     * @param newPrompt profile of the prompt, {@link PromptProfile#NONE} for a plain service
     * @return this builder
     */
    public Builder request(ServiceName newService, TeamName newTeam, PromptProfile newPrompt) {
      service = newService;
      team = newTeam;
      prompt = newPrompt;
      return this;
    }

    /**
     * Sets what identifies the whole request.
     *
     * @param newDigest digest of the request, empty if it isn't known
     * @return this builder
     */
    public Builder digest(Optional<RequestDigest> newDigest) {
      digest = newDigest;
      return this;
    }

    /**
     * Sets the failure domain that the request is sent from.
     *
     * @param newDomain domain of the router of the caller
     * @return this builder
     */
    public Builder from(FailureDomain newDomain) {
      domain = Optional.of(newDomain);
      return this;
    }

    /**
     * Sets the monotonic times.
     *
     * @param newArrivedNanos arrival of the request
     * @param newObjectiveNanos time by which the latency objective wants a response
     * @param newDeadlineNanos time until which the caller waits
     * @return this builder
     */
    public Builder times(long newArrivedNanos, long newObjectiveNanos, long newDeadlineNanos) {
      arrivedNanos = newArrivedNanos;
      objectiveNanos = newObjectiveNanos;
      deadlineNanos = newDeadlineNanos;
      return this;
    }

    /**
     * Sets the time since which the request waits, if that isn't its arrival.
     *
     * @param newSubmittedNanos monotonic time
     * @return this builder
     */
    public Builder submitted(long newSubmittedNanos) {
      submittedNanos = OptionalLong.of(newSubmittedNanos);
      return this;
    }

    /**
     * Sets how long the caller waits for the first output.
     *
     * @param newTimeoutNanos nanoseconds from the arrival
     * @return this builder
     */
    public Builder firstOutputTimeout(long newTimeoutNanos) {
      firstOutputTimeoutNanos = newTimeoutNanos;
      return this;
    }

    /**
     * Sets whether another upstream may go on with the response.
     *
     * @param newResumable true for a stream that may be resumed
     * @return this builder
     */
    public Builder resumable(boolean newResumable) {
      resumable = newResumable;
      return this;
    }

    /**
     * Sets the software version that alone may serve the request.
     *
     * @param newVersion the version, empty if any may
     * @return this builder
     */
    public Builder requiredVersion(Optional<SoftwareVersion> newVersion) {
      requiredVersion = newVersion;
      return this;
    }

    /**
     * Builds the ticket.
     *
     * @return the ticket
     */
    public Ticket build() {
      return new Ticket(this);
    }
  }
}
