package org.dandelionbeam.scheduling;

import org.dandelionbeam.routing.InstanceId;
import org.dandelionbeam.routing.UpstreamHealth;

/** How a granted request ended at its upstream, and what that says about the upstream. */
public enum Outcome {
  /** The upstream served the request. */
  SERVED {
    @Override
    void record(UpstreamHealth health, InstanceId upstream, long nowNanos) {
      health.recordResponse(upstream, true);
    }
  },
  /** The upstream responded with an error of its own. */
  FAILED {
    @Override
    void record(UpstreamHealth health, InstanceId upstream, long nowNanos) {
      health.recordResponse(upstream, false);
    }
  },
  /** The exchange broke off. */
  BROKEN {
    @Override
    void record(UpstreamHealth health, InstanceId upstream, long nowNanos) {
      health.recordBrokenExchange(upstream, nowNanos);
    }
  },
  /** The request was abandoned or rejected, which says nothing about the upstream. */
  ABANDONED {
    @Override
    void record(UpstreamHealth health, InstanceId upstream, long nowNanos) {}
  },
  /** The upstream could not be reached from the router of the caller; the request has not run. */
  UNREACHABLE {
    @Override
    void record(UpstreamHealth health, InstanceId upstream, long nowNanos) {
      health.recordBrokenExchange(upstream, nowNanos);
    }
  };

  /** Records what the outcome says about the upstream. */
  abstract void record(UpstreamHealth health, InstanceId upstream, long nowNanos);
}
