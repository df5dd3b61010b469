package org.dandelionbeam.routing;

/** Kinds of data that routers read from the platform's key-value store. */
public enum StoreData {
  /** What operators write: the configuration and the failure domains out of service. */
  OPERATORS,
  /** Entries of upstreams. */
  UPSTREAMS,
  /** Registrations of routers. */
  ROUTERS
}
