package org.dandelionbeam.config;

import java.util.List;
import java.util.Optional;

/** Stored form of configurations, as the decisions need it. */
public interface ConfigCodec {

  /**
   * Reads a stored configuration.
   *
   * @param stored the bytes under the platform's key
   * @param revision revision of the key
   * @return the configuration, or the errors for which it is refused whole
   */
  ConfigReader.Result decode(byte[] stored, long revision);

  /**
   * Checks a tree and makes its stored form on top of another one, whose numbers of names it keeps.
   *
   * @param base stored form that the change is based on, empty for the first
   * @param tree the merged tree
   * @param change id of the change, kept along with those of the last changes
   * @return the stored form, or all errors
   */
  Prepared prepare(Optional<byte[]> base, ConfigNode tree, String change);

  /**
   * Returns the ids of the last changes that led to a stored configuration.
   *
   * @param stored the bytes
   * @return ids, oldest first; empty if the bytes can't be read
   */
  List<String> changeIds(byte[] stored);

  /**
   * Lists the differences of two stored configurations by path.
   *
   * @param from the older bytes
   * @param to the newer bytes
   * @return one line for each value that differs
   */
  List<String> diff(byte[] from, byte[] to);

  /**
   * Returns what turns one stored configuration into another.
   *
   * @param from the older bytes
   * @param to the newer bytes
   * @return the delta, empty if the whole is smaller or a delta can't express the change
   */
  Optional<byte[]> delta(byte[] from, byte[] to);

  /**
   * Applies a delta.
   *
   * @param from the older bytes
   * @param delta what {@link #delta} returned for them
   * @return the newer bytes, empty if the delta was made for other bytes
   */
  Optional<byte[]> patch(byte[] from, byte[] delta);

  /** Outcome of preparing a change. */
  sealed interface Prepared {

    /**
     * Checked change.
     *
     * @param stored the bytes to store
     */
    record Ready(byte[] stored) implements Prepared {}

    /**
     * Change with errors.
     *
     * @param problems all errors
     */
    record Invalid(List<ConfigProblem> problems) implements Prepared {

      /** Copies the list. */
      public Invalid {
        problems = List.copyOf(problems);
      }
    }
  }
}
