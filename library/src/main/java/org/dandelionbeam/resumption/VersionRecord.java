package org.dandelionbeam.resumption;

import static java.util.Objects.requireNonNull;

import org.dandelionbeam.routing.ServiceName;
import org.dandelionbeam.routing.SoftwareVersion;

/**
 * Record in the store that streams of a service may have begun at a software version.
 *
 * @param service the service
 * @param era era of the store in which the record was written
 * @param version the version
 * @param revision revision of the store at the last write of the record
 */
public record VersionRecord(ServiceName service, long era, SoftwareVersion version, long revision) {
  /** Before all eras of stores. */
  private static final long UNKNOWN_ERA = -1;

  /** Checks the values. */
  public VersionRecord {
    requireNonNull(service, "service");
    requireNonNull(version, "version");
  }

  /**
   * Returns a record that can't be read; it may stand for any version, so that none is the only
   * one.
   *
   * @param service the service
   * @param revision revision of the store at its last write
   * @return the record
   */
  public static VersionRecord unreadable(ServiceName service, long revision) {
    return new VersionRecord(service, UNKNOWN_ERA, SoftwareVersion.of("unreadable"), revision);
  }

  /**
   * Tells whether a router can have written the record.
   *
   * @return false if its key names no version and era
   */
  public boolean isReadable() {
    return era > UNKNOWN_ERA;
  }
}
