package org.dandelionbeam.config;

/** Protocol of the upstreams of a service. */
public enum ServiceType {
  /** Model engines, called through the chat completions API. */
  MODEL,
  /** Plain HTTP services, called through {@code /v1/services/}. */
  PLAIN
}
