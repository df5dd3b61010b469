package org.dandelionbeam.routing;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** What crashes the engines of a {@link SimulatedFleet}, and when it did. */
final class SimulatedCrashes {
  /** Times of all crashes. */
  final List<Long> crashesMs = new ArrayList<>();

  /** Times of the crashes under requests that crash engines. */
  final List<Long> crashesUnderRequestsMs = new ArrayList<>();

  /** When requests that crash engines reached them. */
  final List<Long> crashingRequestsMs = new ArrayList<>();

  private final Set<Suspect> guilty = new HashSet<>();

  void crashOn(Suspect suspect) {
    guilty.add(suspect);
  }

  /** Tells whether an engine crashes that begins to answer a request. */
  boolean isCrashing(RequestContent request) {
    return request.suspects().stream().anyMatch(guilty::contains);
  }
}
