package org.dandelionbeam.routing;

/**
 * Versions of the data that a router has read from the platform's key-value store: the store
 * revision of the newest known change of each kind, 0 if none was read.
 *
 * @param operators revision of what operators wrote
 * @param upstreams revision of the entries of upstreams
 * @param routers revision of the registrations of routers
 */
public record StoreVersions(long operators, long upstreams, long routers) {

  /** Versions of a router that has not read anything. */
  public static final StoreVersions NONE = new StoreVersions(0, 0, 0);

  /**
   * Returns the maximum of each version.
   *
   * @param other versions to compare with
   * @return the newer of both versions for each kind of data
   */
  public StoreVersions newest(StoreVersions other) {
    return new StoreVersions(
        Math.max(operators, other.operators),
        Math.max(upstreams, other.upstreams),
        Math.max(routers, other.routers));
  }

  /**
   * Returns the version of one kind of data.
   *
   * @param data the kind
   * @return revision of the store
   */
  public long of(StoreData data) {
    return switch (data) {
      case OPERATORS -> operators;
      case UPSTREAMS -> upstreams;
      case ROUTERS -> routers;
    };
  }

  /**
   * Returns these versions with a change of one kind of data.
   *
   * @param data the kind
   * @param revision revision of the change
   * @return the versions, unchanged if a newer change is known
   */
  public StoreVersions with(StoreData data, long revision) {
    return newest(
        switch (data) {
          case OPERATORS -> new StoreVersions(revision, 0, 0);
          case UPSTREAMS -> new StoreVersions(0, revision, 0);
          case ROUTERS -> new StoreVersions(0, 0, revision);
        });
  }
}
