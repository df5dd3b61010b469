package org.dandelionbeam.routing;

/**
 * Versions of the data that a router has read from the platform's key-value store: the store
 * revision of the newest known change of each kind, 0 if none was read.
 *
 * <p>A store that was restored from a copy gives out revisions again. They are newer than all
 * revisions of earlier eras.
 *
 * @param era number of restorations of the store
 * @param operators revision of what operators wrote
 * @param upstreams revision of the entries of upstreams
 * @param routers revision of the registrations of routers
 */
public record StoreVersions(long era, long operators, long upstreams, long routers) {

  /** Versions of a router that has not read anything. */
  public static final StoreVersions NONE = new StoreVersions(0, 0, 0, 0);

  /**
   * Returns the versions of a router that has not read anything since the store was restored.
   *
   * @param era number of restorations of the store
   * @return the versions
   */
  public static StoreVersions ofEra(long era) {
    return new StoreVersions(era, 0, 0, 0);
  }

  /**
   * Returns the newer of both versions for each kind of data.
   *
   * @param other versions to compare with
   * @return the versions of the later era, or the maximum of each revision of the same era
   */
  public StoreVersions newest(StoreVersions other) {
    if (era != other.era) {
      return era > other.era ? this : other;
    }
    return new StoreVersions(
        era,
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
          case OPERATORS -> new StoreVersions(era, revision, 0, 0);
          case UPSTREAMS -> new StoreVersions(era, 0, revision, 0);
          case ROUTERS -> new StoreVersions(era, 0, 0, revision);
        });
  }

  /**
   * Tells whether one kind of data is older than in other versions.
   *
   * @param data the kind
   * @param other versions to compare with
   * @return true if the other one is of a later era, or of a later revision of the same era
   */
  public boolean isOlderThan(StoreVersions other, StoreData data) {
    return era < other.era || (era == other.era && of(data) < other.of(data));
  }
}
