package org.dandelionbeam.routing;

import static java.util.Objects.requireNonNull;

/**
 * IP address and port that a process listens on.
 *
 * @param host numeric IP address
 * @param port port, 1 to 65535
 */
public record Endpoint(String host, int port) {
  private static final int MAX_PORT = 65_535;

  /**
   * Checks the values.
   *
   * @throws IllegalArgumentException if the host is blank or the port out of range
   */
  public Endpoint {
    requireNonNull(host, "host");
    if (host.isBlank() || port < 1 || port > MAX_PORT) {
      throw new IllegalArgumentException(
          "address must be host:port with a port from 1 to 65535, but is " + host + ":" + port);
    }
  }

  /**
   * Parses an address.
   *
   * @param text host and port, separated by a colon
   * @return the address
   * @throws IllegalArgumentException if the text is not of the form host:port
   */
  public static Endpoint of(String text) {
    int colon = requireNonNull(text, "text").lastIndexOf(':');
    if (colon < 1) {
      throw new IllegalArgumentException("address must have the form host:port, but is " + text);
    }
    return new Endpoint(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
  }

  @Override
  public String toString() {
    return host + ":" + port;
  }
}
