package org.dandelionbeam.daemon;

import org.dandelionbeam.node.RouterSettings;

/** Starts a router in this process. */
@FunctionalInterface
public interface RouterLauncher {

  /**
   * Starts a router.
   *
   * @param settings its settings
   * @return the running router; closing it drains it first
   */
  AutoCloseable start(RouterSettings settings);
}
