package org.dandelionbeam.routing;

import static java.util.Objects.requireNonNull;

import java.util.HashSet;
import java.util.Set;

/** A request that wants an upstream. Not thread-safe. */
public final class Ticket {
  private final long number;
  private final ServiceName service;
  private final TeamName team;
  private final PromptShape shape;
  private final long arrivedNanos;
  private final long objectiveNanos;
  private final long deadlineNanos;
  private final long patienceNanos;
  private final Set<InstanceId> excluded = new HashSet<>();
  private long submittedNanos;

  private Ticket(Builder builder) {
    number = builder.number;
    service = requireNonNull(builder.service, "service");
    team = requireNonNull(builder.team, "team");
    shape = requireNonNull(builder.shape, "shape");
    arrivedNanos = builder.arrivedNanos;
    submittedNanos = builder.arrivedNanos;
    objectiveNanos = builder.objectiveNanos;
    deadlineNanos = builder.deadlineNanos;
    patienceNanos = Math.min(builder.patienceNanos, builder.deadlineNanos - builder.arrivedNanos);
  }

  /**
   * Starts a ticket.
   *
   * @param number number that is unique at this router
   * @return a builder
   */
  public static Builder builder(long number) {
    return new Builder(number);
  }

  /**
   * Returns the number.
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
   * Returns the size of a model request.
   *
   * @return the shape, {@link PromptShape#NONE} for a plain service
   */
  public PromptShape shape() {
    return shape;
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
   * Notes that an upstream failed the request and that it waits for another one.
   *
   * @param nowNanos monotonic time
   */
  public void resubmitted(long nowNanos) {
    submittedNanos = nowNanos;
  }

  /**
   * Returns since when the request waits for an upstream.
   *
   * @return monotonic time, that of the arrival or of the last failure
   */
  public long submittedNanos() {
    return submittedNanos;
  }

  /**
   * Returns until when an answer has its full value.
   *
   * @return monotonic time
   */
  public long objectiveNanos() {
    return objectiveNanos;
  }

  /**
   * Returns until when the caller waits.
   *
   * @return monotonic time
   */
  public long deadlineNanos() {
    return deadlineNanos;
  }

  /**
   * Returns how long the caller waits for the first output.
   *
   * @return time from the arrival, at most up to the deadline
   */
  public long patienceNanos() {
    return patienceNanos;
  }

  /**
   * Excludes an upstream that did not run the request.
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
   * @return true if it had this request already
   */
  public boolean isExcluded(InstanceId id) {
    return excluded.contains(id);
  }

  /** Collects the values of a ticket. */
  public static final class Builder {
    private final long number;
    private ServiceName service;
    private TeamName team;
    private PromptShape shape = PromptShape.NONE;
    private long arrivedNanos;
    private long objectiveNanos;
    private long deadlineNanos;
    private long patienceNanos = Long.MAX_VALUE;

    private Builder(long number) {
      this.number = number;
    }

    /**
     * Sets who wants what.
     *
     * @param newService service that the request goes to
     * @param newTeam team that it belongs to
     * @param newShape size of a model request
     * @return this builder
     */
    public Builder request(ServiceName newService, TeamName newTeam, PromptShape newShape) {
      service = newService;
      team = newTeam;
      shape = newShape;
      return this;
    }

    /**
     * Sets the times, all monotonic.
     *
     * @param newArrived arrival
     * @param newObjective until when an answer has its full value
     * @param newDeadline until when the caller waits
     * @return this builder
     */
    public Builder times(long newArrived, long newObjective, long newDeadline) {
      arrivedNanos = newArrived;
      objectiveNanos = newObjective;
      deadlineNanos = newDeadline;
      return this;
    }

    /**
     * Sets how long the caller waits for the first output.
     *
     * @param newPatience time from the arrival
     * @return this builder
     */
    public Builder patience(long newPatience) {
      patienceNanos = newPatience;
      return this;
    }

    /**
     * Makes the ticket.
     *
     * @return the ticket
     */
    public Ticket build() {
      return new Ticket(this);
    }
  }
}
