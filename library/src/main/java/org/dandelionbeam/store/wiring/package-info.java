/** HTTP client of the platform's key-value store and a rate-limited decorator. */
package org.dandelionbeam.store.wiring;
