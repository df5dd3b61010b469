package org.dandelionbeam.routing;

import static java.util.Objects.requireNonNull;

import java.util.HashSet;
import java.util.Set;

/** A request that the scheduler assigns to an upstream. Not thread-safe. */
public final class Ticket {
  private final long number;
  private final ServiceName service;
  private final TeamName team;
  private final PromptProfile prompt;
  private final long arrivedNanos;
  private final long objectiveNanos;
  private final long deadlineNanos;
  private final long firstOutputTimeoutNanos;
  private final Set<InstanceId> excluded = new HashSet<>();
  private long submittedNanos;

  private Ticket(Builder builder) {
    number = builder.number;
    service = requireNonNull(builder.service, "service");
    team = requireNonNull(builder.team, "team");
    prompt = requireNonNull(builder.prompt, "prompt");
    arrivedNanos = builder.arrivedNanos;
    submittedNanos = builder.arrivedNanos;
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
   * Returns the number of the request.
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
   * Returns the profile of the request's prompt.
   *
   * @return the profile, {@link PromptProfile#NONE} for a plain service
   */
  public PromptProfile prompt() {
    return prompt;
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
   * @param nowNanos monotonic time
   */
  public void recordResubmission(long nowNanos) {
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
   * Excludes an upstream that the request was sent to from further attempts.
   *
   * @param id the upstream
   */
  public void exclude(InstanceId id) {
    excluded.add(id);
  }

  /**
   * Tells whether an upstream is excluded.
   *
   * @param id the upstream
   * @return true if the request was sent to it already
   */
  public boolean isExcluded(InstanceId id) {
    return excluded.contains(id);
  }

  /** Builds a ticket. */
  public static final class Builder {
    private final long number;
    private ServiceName service;
    private TeamName team;
    private PromptProfile prompt = PromptProfile.NONE;
    private long arrivedNanos;
    private long objectiveNanos;
    private long deadlineNanos;
    private long firstOutputTimeoutNanos = Long.MAX_VALUE;

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
     * Builds the ticket.
     *
     * @return the ticket
     */
    public Ticket build() {
      return new Ticket(this);
    }
  }
}
