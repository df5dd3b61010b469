/** Concurrency limits, cost estimates and cache state of upstreams, learned from exchanges. */
package org.dandelionbeam.upstream;
