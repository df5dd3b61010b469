package org.dandelionbeam.routing;

/**
 * Versions of the data that a router has read from the platform's key-value store.
 *
 * @param configuration version of the configuration in force, 0 if none was read
 * @param upstreams store revision of the newest known change to an upstream's entry, 0 if none was
 *     read
 */
public record StoreVersions(long configuration, long upstreams) {

  /** Versions of a router that has not read anything. */
  public static final StoreVersions NONE = new StoreVersions(0, 0);

  /**
   * Returns the maximum of each version.
   *
   * @param other versions to compare with
   * @return the newer of both versions for each kind of data
   */
  public StoreVersions newest(StoreVersions other) {
    return new StoreVersions(
        Math.max(configuration, other.configuration), Math.max(upstreams, other.upstreams));
  }
}
