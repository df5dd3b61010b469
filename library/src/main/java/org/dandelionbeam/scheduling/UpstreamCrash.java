package org.dandelionbeam.scheduling;

import static java.util.Objects.requireNonNull;

import java.util.List;
import org.dandelionbeam.routing.RequestContent;

/**
 * The end of an upstream with the requests that ran on it.
 *
 * @param upstream number of the upstream
 * @param brokenOff number of exchanges that it broke off
 * @param suspects content of the requests that it had just begun to answer, or not yet
 */
public record UpstreamCrash(int upstream, int brokenOff, List<RequestContent> suspects) {

  /** Copies the list. */
  public UpstreamCrash {
    suspects = List.copyOf(requireNonNull(suspects, "suspects"));
  }
}
