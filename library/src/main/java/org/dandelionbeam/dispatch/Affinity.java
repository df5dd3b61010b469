package org.dandelionbeam.dispatch;

import java.util.List;
import org.dandelionbeam.base.UpstreamId;

/** Tells which upstreams probably have a prompt prefix in their cache. */
public interface Affinity {

  /**
   * Returns the upstreams that probably have a prefix in their cache.
   *
   * @param prefixHash hash of the prefix, 0 for none
   * @param nowNanos current monotonic time in nanoseconds
   * @return the upstreams, most probable first
   */
  List<UpstreamId> holders(long prefixHash, long nowNanos);

  /**
   * Records that an upstream answered a request with a prefix.
   *
   * @param prefixHash hash of the prefix, 0 for none
   * @param upstream upstream that answered
   * @param nowNanos current monotonic time in nanoseconds
   */
  void used(long prefixHash, UpstreamId upstream, long nowNanos);

  /**
   * Returns an affinity that knows no prefixes.
   *
   * @return an affinity whose list of holders is always empty
   */
  static Affinity none() {
    return new Affinity() {
      @Override
      public List<UpstreamId> holders(long prefixHash, long nowNanos) {
        return List.of();
      }

      @Override
      public void used(long prefixHash, UpstreamId upstream, long nowNanos) {
        // Uses are not recorded.
      }
    };
  }
}
