/** Connections, timers and logs of a router; its decisions are made in the package above. */
package org.dandelionbeam.routing.wiring;
