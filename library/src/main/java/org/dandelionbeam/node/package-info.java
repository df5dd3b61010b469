/** Settings of a node, which is one router process on a VM. */
package org.dandelionbeam.node;
