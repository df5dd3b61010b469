package org.dandelionbeam.routing;

/**
 * Versions of what a router knows of the platform's store.
 *
 * @param configuration version of the configuration in force, 0 if none is known
 * @param upstreams revision of the newest change of an upstream's entry, 0 if none is known
 */
public record StoreVersions(long configuration, long upstreams) {

  /** Nothing is known. */
  public static final StoreVersions NONE = new StoreVersions(0, 0);

  /**
   * Takes the newer of each version.
   *
   * @param other versions that another router knows
   * @return the newer ones
   */
  public StoreVersions newest(StoreVersions other) {
    return new StoreVersions(
        Math.max(configuration, other.configuration), Math.max(upstreams, other.upstreams));
  }
}
