/** Runs the exchange of usage between owners and homes on an event thread. */
package org.dandelionbeam.share.wiring;
