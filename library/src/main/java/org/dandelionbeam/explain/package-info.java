/** Journal of decisions on requests and on the fleet, with their reasons. */
package org.dandelionbeam.explain;
