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
 * What all connections of an entry share.
 *
 * @param configuration the configuration in force, empty before the first
 * @param dispatch the dispatch duty of this node
 * @param claims the claims duty of this node
 * @param admin answers operators and probes
 * @param addresses answers the address list
 * @param closedReason tells why new requests are refused
 * @param fleetKey secret of the fleet, seals stream ids
 * @param clock monotonic time
 * @param random source of request ids and jitter, used on the entry's thread only
 * @param journal log of decisions
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
   * Reason why the entry takes no new requests.
   *
   * @param code {@code NOT_READY} or {@code STOPPING}
   * @param detail one sentence
   */
  public record ClosedReason(org.dandelionbeam.base.ErrorCode code, String detail) {}

  /** Answers operators and probes. */
  @FunctionalInterface
  public interface AdminPort {

    /**
     * Answers a call.
     *
     * @param call the call
     * @param reply gets the answer once, on any thread
     */
    void handle(AdminRequest call, java.util.function.Consumer<AdminResponse> reply);
  }

  /**
   * A call of an operator or a probe.
   *
   * @param method HTTP method
   * @param path path below {@code /admin/v1}, or the path of the probe
   * @param query first value of each query parameter
   * @param body the body
   */
  public record AdminRequest(String method, String path, Map<String, String> query, byte[] body) {}

  /**
   * Answer to an operator or a probe.
   *
   * @param status HTTP status
   * @param contentType media type
   * @param body a text, or a value to be written as JSON
   */
  public record AdminResponse(int status, String contentType, Object body) {}

  /** Gives the address list. */
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
