package org.dandelionbeam.membership;

/**
 * State of an upstream's admission window. The owner shares it with the other candidates, so that
 * the next owner starts from it.
 *
 * @param cold whether the upstream is cold
 * @param limit maximum number of requests in flight now
 */
public record WindowState(boolean cold, int limit) {}
