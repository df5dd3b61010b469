/**
 * Dispatch of requests to upstreams: tickets, grants and fair queues between teams.
 *
 * <p>Each upstream is owned by one node, its owner. The node that received a request from its
 * caller, its entry, sends a ticket for it to an owner. The owner queues the ticket and answers
 * with a grant when a slot of an upstream is free. Every node is an entry and an owner.
 */
package org.dandelionbeam.dispatch;
