/** Handlers of operators' requests and probes over HTTP. */
package org.dandelionbeam.admin.wiring;
