/**
 * How routers learn the state of the whole fleet: each reports to the relay of its failure domain,
 * and relays exchange the sums.
 */
package org.dandelionbeam.summary;
