/**
 * Stand-ins and test programs of the independent review, which run beside real router processes.
 */
package org.dandelionbeam.review;
