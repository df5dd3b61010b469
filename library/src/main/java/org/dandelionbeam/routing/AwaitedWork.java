package org.dandelionbeam.routing;

import java.util.HashMap;
import java.util.Map;

/**
 * Prefill work of waiting requests, by the upstream that they wait for and their team. Not
 * thread-safe.
 */
final class AwaitedWork {
  private final Map<Key, Long> tokens = new HashMap<>();

  private record Key(int upstream, TeamName team) {}

  /** Adds a request that waits for an upstream. */
  void add(int upstream, Ticket ticket) {
    tokens.merge(new Key(upstream, ticket.team()), ticket.prompt().unsharedTokens(), Long::sum);
  }

  /** Returns the tokens to prefill for the requests of a team that wait for an upstream. */
  long tokensFor(int upstream, TeamName team) {
    return tokens.getOrDefault(new Key(upstream, team), 0L);
  }
}
