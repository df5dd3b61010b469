/** Open-loop load generator that checks every response. */
package org.dandelionbeam.daemon.load;
