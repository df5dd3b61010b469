/** HTTP client for upstreams, with one exchange at a time per connection, and engine polling. */
package org.dandelionbeam.upstream.wiring;
