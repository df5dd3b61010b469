package org.dandelionbeam.membership;

import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** The platform's list of VMs, which lags behind the actual state. */
@FunctionalInterface
public interface VmList {

  /**
   * Reads the list.
   *
   * @return the states by IP address; the platform does not know a host that is not in the map
   */
  CompletableFuture<Map<String, VmState>> read();

  /**
   * Returns an empty list, for a platform that offers none.
   *
   * @return a list without VMs
   */
  static VmList none() {
    return () -> CompletableFuture.completedFuture(Map.of());
  }
}
