package org.dandelionbeam.resumption;

import static java.util.Objects.requireNonNull;

import org.dandelionbeam.routing.ServiceName;
import org.dandelionbeam.routing.SoftwareVersion;

/**
 * What began a stream.
 *
 * @param service service of the upstream
 * @param version software version of the upstream
 */
public record StreamOrigin(ServiceName service, SoftwareVersion version) {
  /** Checks the values. */
  public StreamOrigin {
    requireNonNull(service, "service");
    requireNonNull(version, "version");
  }
}
