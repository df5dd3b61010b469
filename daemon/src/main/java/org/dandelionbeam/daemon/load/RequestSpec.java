package org.dandelionbeam.daemon.load;

/**
 * One request of a load.
 *
 * @param team its team
 * @param kind its kind
 * @param id its request id, unique
 * @param prompt its prompt, empty for calls
 * @param method HTTP method
 * @param path path with query
 * @param body body, may be empty
 */
record RequestSpec(
    MixTeam team,
    MixKind kind,
    String id,
    String prompt,
    String method,
    String path,
    String body) {}
