/** Claims of idempotency keys, so that a request that must not be repeated runs at most once. */
package org.dandelionbeam.claims;
