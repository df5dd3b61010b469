/**
 * Decisions of a router that keeps no state on disk: routes, upstreams, load, admission, retries
 * and the members of the fleet.
 */
package org.dandelionbeam.routing;
