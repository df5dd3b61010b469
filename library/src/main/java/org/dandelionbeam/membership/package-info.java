/** Membership of the fleet, failure detection, and the division of upstreams' slots among nodes. */
package org.dandelionbeam.membership;
