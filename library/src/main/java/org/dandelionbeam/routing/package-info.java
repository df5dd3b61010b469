/**
 * Decisions of a router that serves callers on a platform without disks: routes, upstreams, load,
 * admission, retries and the members of the fleet.
 */
package org.dandelionbeam.routing;
