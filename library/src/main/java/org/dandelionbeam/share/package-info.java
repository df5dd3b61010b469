/**
 * Usage of each team over the whole fleet, so that owners share upstreams fairly between teams.
 *
 * <p>Usage is the cost of the requests that owners granted to a team on a service. Each owner
 * counts the usage that it granted and reports it to the team's home, the node that adds up the
 * usage of the team. The home answers with the usage at the other owners.
 */
package org.dandelionbeam.share;
