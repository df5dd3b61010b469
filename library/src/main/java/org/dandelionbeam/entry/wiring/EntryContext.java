package org.dandelionbeam.entry.wiring;

import io.micrometer.core.instrument.MeterRegistry;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.dandelionbeam.base.FailureDomain;
import org.dandelionbeam.base.MonotonicClock;
import org.dandelionbeam.config.Configuration;
import org.dandelionbeam.dispatch.DispatchPort;
import org.dandelionbeam.entry.ClaimPort;
import org.dandelionbeam.explain.Journal;

/**
 * Components and settings that all connections of an entry share.
 *
 * @param configuration the configuration in force, empty until there is one
 * @param dispatch the dispatch component of this node
 * @param claims the claims component of this node
 * @param admin handles requests of operators and probes
 * @param addresses returns the address list
 * @param closedReason why new requests are refused, empty if they are accepted
 * @param fleetKey secret of the fleet, authenticates stream positions
 * @param clock monotonic time
 * @param random source of request ids and jitter, used on the event loop of the entry only
 * @param journal journal of decisions
 * @param meters registry for counters and histograms
 */
public record EntryContext(
    Supplier<Optional<Configuration>> configuration,
    DispatchPort dispatch,
    ClaimPort claims,
    AdminPort admin,
    AddressPort addresses,
    Supplier<Optional<ClosedReason>> closedReason,
    byte[] fleetKey,
    MonotonicClock clock,
    RandomGenerator random,
    Journal journal,
    MeterRegistry meters) {

  /**
   * Reason why the entry accepts no new requests.
   *
   * @param code {@code NOT_READY} or {@code STOPPING}
   * @param detail cause, as one sentence
   */
  public record ClosedReason(org.dandelionbeam.base.ErrorCode code, String detail) {}

  /** Handles requests of operators and probes. */
  @FunctionalInterface
  public interface AdminPort {

    /**
     * Handles a request.
     *
     * @param call the call
     * @param reply receives the response once, on any thread
     */
    void handle(AdminRequest call, java.util.function.Consumer<AdminResponse> reply);
  }

  /**
   * Request of an operator or a probe.
   *
   * @param method HTTP method
   * @param path path below {@code /admin/v1}, or the path of the probe
   * @param query first value of each query parameter
   * @param body body of the request
   */
  public record AdminRequest(String method, String path, Map<String, String> query, byte[] body) {}

  /**
   * Response to an operator or a probe.
   *
   * @param status HTTP status
   * @param contentType media type
   * @param body a string to be written as text, or another value to be written as JSON
   */
  public record AdminResponse(int status, String contentType, Object body) {}

  /** Returns the address list. */
  @FunctionalInterface
  public interface AddressPort {

    /**
     * Returns the addresses that a caller should use, best first.
     *
     * @param domain the caller's failure domain, empty if unknown
     * @return a value to be written as JSON
     */
    Object addresses(Optional<FailureDomain> domain);
  }
}
