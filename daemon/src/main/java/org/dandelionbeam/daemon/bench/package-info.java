/** Benchmarks of dispatch decisions in simulated time, and of whole requests through routers. */
package org.dandelionbeam.daemon.bench;
