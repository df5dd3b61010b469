/**
 * Handles requests of callers from arrival to the end of the response: routes, attempts, verdicts
 * and resumable streams.
 */
package org.dandelionbeam.entry;
