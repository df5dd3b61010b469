package org.dandelionbeam.dispatch.wiring;

import java.util.List;
import org.dandelionbeam.base.UpstreamId;
import org.dandelionbeam.dispatch.Affinity;
import org.dandelionbeam.upstream.PrefixAffinity;

/**
 * Affinity from the requests that this node granted and the cache events of engines.
 *
 * @param prefixes bounded memory of prefixes and the engines that cache them
 */
record CachedPrefixes(PrefixAffinity prefixes) implements Affinity {

  @Override
  public List<UpstreamId> holders(long prefixHash, long nowNanos) {
    return prefixes.holders(prefixHash, nowNanos);
  }

  @Override
  public void used(long prefixHash, UpstreamId upstream, long nowNanos) {
    prefixes.recordUse(prefixHash, upstream, nowNanos);
  }
}
