/**
 * How requests find the router that schedules an upstream: assignment of upstreams to schedulers,
 * and the messages between the router of a caller and a scheduler.
 */
package org.dandelionbeam.scheduling;
