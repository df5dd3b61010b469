/**
 * Connections, timers, reports and logs of a router; its decisions are made in {@link
 * org.dandelionbeam.routing}.
 */
package org.dandelionbeam.routing.wiring;
