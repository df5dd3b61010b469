/** Runs membership: its thread, network, codecs and the platform's key-value store. */
package org.dandelionbeam.membership.wiring;
