/** Event thread, store calls and value format of the claims. */
package org.dandelionbeam.claims.wiring;
