/** Interface to the platform's key-value store, with rate limiting and health tracking. */
package org.dandelionbeam.store;
