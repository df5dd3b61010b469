package org.dandelionbeam.routing;

/** The software versions at which streams that may be resumed may begin. */
public interface VersionScope {

  /**
   * Tells whether such streams may begin at a version.
   *
   * @param service the service
   * @param version software version of an upstream
   * @param nowNanos monotonic time
   * @return false while it could not be told later that a stream began there
   */
  boolean mayBegin(ServiceName service, SoftwareVersion version, long nowNanos);
}
