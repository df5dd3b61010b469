package org.dandelionbeam.routing;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Keeps what is blamed for crashes while no router runs. Each receiver is called once, later and on
 * the thread of the caller; a call whose outcome is not known has failed.
 */
public interface BlameStore {

  /**
   * Reads what is blamed.
   *
   * @param receiver gets the time until each blame ends, empty if the call failed
   */
  void read(Consumer<Optional<Map<Suspect, Duration>>> receiver);

  /**
   * Writes a blame, which ends by itself; several routers may write the same one.
   *
   * @param blame the blame
   * @param receiver gets whether the store has acknowledged the write
   */
  void write(Blame blame, Consumer<Boolean> receiver);
}
