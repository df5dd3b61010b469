/**
 * Messages between routers and the interface to send and receive them, independent of the
 * transport.
 */
package org.dandelionbeam.peer;
