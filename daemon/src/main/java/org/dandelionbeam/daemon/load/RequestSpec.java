package org.dandelionbeam.daemon.load;

/**
 * Request to send, drawn from a mix.
 *
 * @param team its team
 * @param kind its kind
 * @param id its request id, unique
 * @param prompt prompt to expect back in a completion, empty for calls
 * @param method HTTP method
 * @param path path with query
 * @param body body, empty if the request has none
 */
record RequestSpec(
    MixTeam team,
    MixKind kind,
    String id,
    String prompt,
    String method,
    String path,
    String body) {}
