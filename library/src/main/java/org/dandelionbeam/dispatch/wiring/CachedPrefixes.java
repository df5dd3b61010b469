package org.dandelionbeam.dispatch.wiring;

import java.util.List;
import org.dandelionbeam.base.UpstreamId;
import org.dandelionbeam.dispatch.Affinity;
import org.dandelionbeam.upstream.PrefixAffinity;

/**
 * Affinity from own history and the engines' cache events.
 *
 * @param prefixes bounded memory of prefixes
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
