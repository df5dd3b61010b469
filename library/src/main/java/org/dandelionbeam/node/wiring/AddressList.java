package org.dandelionbeam.node.wiring;

import java.util.List;
import org.dandelionbeam.membership.AddressBook;

/**
 * Address list in the form that callers get as JSON.
 *
 * @param addresses usable addresses, best first
 * @param lifetimeSeconds how long a caller may cache the list, in seconds
 */
record AddressList(List<Entry> addresses, long lifetimeSeconds) {

  static AddressList of(AddressBook book) {
    List<Entry> entries =
        book.addresses().stream()
            .map(a -> new Entry(a.host() + ":" + a.port(), a.domain().name()))
            .toList();
    return new AddressList(entries, book.lifetime().toSeconds());
  }

  /**
   * Address of one router.
   *
   * @param address host and port for callers
   * @param domain failure domain of the node
   */
  record Entry(String address, String domain) {}
}
