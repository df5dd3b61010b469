package org.dandelionbeam.config;

import java.util.List;
import java.util.Optional;

/** Encodes, decodes and compares the stored form of configurations. */
public interface ConfigCodec {

  /**
   * Decodes and validates a stored configuration.
   *
   * @param stored the value of the configuration key in the platform store
   * @param revision revision of that value
   * @return the configuration, or the errors because of which it is refused as a whole
   */
  ConfigReader.Result decode(byte[] stored, long revision);

  /**
   * Validates a tree and encodes its stored form. Names keep the numbers that they have in the
   * base.
   *
   * @param base stored form that the change is based on, empty for the first
   * @param tree merged configuration tree
   * @param change id of the change, stored along with the ids of recent changes
   * @return the stored form, or all errors of the tree
   */
  Prepared prepare(Optional<byte[]> base, ConfigNode tree, String change);

  /**
   * Returns the ids of the most recent changes that led to a stored configuration.
   *
   * @param stored stored form of the configuration
   * @return ids, oldest first; empty if the stored form cannot be decoded
   */
  List<String> changeIds(byte[] stored);

  /**
   * Lists the differences between two stored configurations by path.
   *
   * @param from stored form of the older configuration
   * @param to stored form of the newer configuration
   * @return one line for each value that differs
   */
  List<String> diff(byte[] from, byte[] to);

  /**
   * Returns the delta that turns one stored configuration into another.
   *
   * @param from stored form of the older configuration
   * @param to stored form of the newer configuration
   * @return the delta, empty if it is not smaller than the full value or cannot express the change
   */
  Optional<byte[]> delta(byte[] from, byte[] to);

  /**
   * Applies a delta.
   *
   * @param from stored form of the older configuration
   * @param delta a delta that {@link #delta} returned for that configuration
   * @return stored form of the newer configuration, empty if the delta was made for a different one
   */
  Optional<byte[]> patch(byte[] from, byte[] delta);

  /** Outcome of preparing a change. */
  sealed interface Prepared {

    /**
     * Valid change.
     *
     * @param stored value to write to the platform store
     */
    record Ready(byte[] stored) implements Prepared {}

    /**
     * Invalid change.
     *
     * @param problems all errors of the change
     */
    record Invalid(List<ConfigProblem> problems) implements Prepared {

      /** Copies the list. */
      public Invalid {
        problems = List.copyOf(problems);
      }
    }
  }
}
