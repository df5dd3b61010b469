package org.dandelionbeam.routing;

import static java.util.Objects.requireNonNull;

import java.time.Duration;

/**
 * Says that requests with a suspect are refused, as it crashes upstreams.
 *
 * @param suspect what is blamed
 * @param remaining time until the blame ends
 */
public record Blame(Suspect suspect, Duration remaining) {

  /** Checks the values. */
  public Blame {
    requireNonNull(suspect, "suspect");
    requireNonNull(remaining, "remaining");
  }

  /**
   * Returns the refusal of a request.
   *
   * @param ticket the request, which has the suspect
   * @return the decision
   */
  public Decision.Refused refusalOf(Ticket ticket) {
    return new Decision.Refused(ticket, suspect.kind().refusalReason(), remaining);
  }
}
