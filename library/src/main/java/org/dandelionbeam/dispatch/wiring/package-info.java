/**
 * Runs dispatch on its event thread and connects it to the network, the metrics and the other
 * components.
 */
package org.dandelionbeam.dispatch.wiring;
