/**
 * HTTP server for callers, built on Netty: connections, routing of paths and relaying of responses.
 */
package org.dandelionbeam.entry.wiring;
