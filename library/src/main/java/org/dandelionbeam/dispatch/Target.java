package org.dandelionbeam.dispatch;

import org.dandelionbeam.base.NodeId;
import org.dandelionbeam.config.Upstream;

/** Upstream that a ticket may use and the node that owns it. */
record Target(Upstream upstream, NodeId owner) {}
