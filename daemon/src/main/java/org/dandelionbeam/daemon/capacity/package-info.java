/** Computes the control cost of each role at the design size from measured slopes. */
package org.dandelionbeam.daemon.capacity;
