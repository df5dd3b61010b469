/** A fleet of routers with simulated upstreams in one process, for demo, benchmarks and tests. */
package org.dandelionbeam.daemon.fleet;
