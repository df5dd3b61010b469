package org.dandelionbeam.routing;

import java.io.IOException;
import java.util.Optional;

/**
 * Encodes one kind of the store's data as a whole, so that routers can hand it on to each other.
 */
public interface StoreSnapshots {

  /**
   * Returns the data as this router has read it.
   *
   * @param known versions that the receiver has
   * @return the encoded data, empty if this router has no newer data than the receiver
   */
  Optional<String> newerThan(StoreVersions known);

  /**
   * Applies data that a peer has read from the store.
   *
   * @param snapshot the encoded data
   * @return false if this router has the same or newer data, which then stays in force
   * @throws IOException if the bytes are no snapshot
   */
  boolean apply(byte[] snapshot) throws IOException;
}
