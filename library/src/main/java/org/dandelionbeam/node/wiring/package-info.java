/** Assembles a router process from its components and starts and stops them. */
package org.dandelionbeam.node.wiring;
