/** Peer messages over TCP: framing, MessagePack, authentication and connections. */
package org.dandelionbeam.peer.wiring;
