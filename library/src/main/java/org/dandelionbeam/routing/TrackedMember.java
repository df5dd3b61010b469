package org.dandelionbeam.routing;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import org.dandelionbeam.routing.FleetMembers.Availability;
import org.dandelionbeam.routing.FleetMembers.Member;
import org.dandelionbeam.routing.FleetMembers.Source;

/** A router of the fleet with the state of the reports that told of it. Not thread-safe. */
final class TrackedMember {
  /**
   * Routers report several times a second; one that was silent for this time has crashed, is frozen
   * or is cut off.
   */
  private static final Duration LIVENESS_TIMEOUT = Duration.ofMillis(1_500);

  private Member member;
  private boolean registered;
  private boolean reportExpected = true;
  private long expectedSinceNanos;
  private boolean present;
  private long presentNanos;
  private boolean reported;
  private long reportedNanos;
  private boolean serving;
  private Source source = Source.NONE;
  private long heardNanos;

  TrackedMember(Member member, boolean registered, long nowNanos) {
    this.member = requireNonNull(member, "member");
    this.registered = registered;
    expectedSinceNanos = nowNanos;
    heardNanos = nowNanos;
  }

  Member member() {
    return member;
  }

  boolean isRegistered() {
    return registered;
  }

  /** Records its registration, which may have new addresses. */
  void register(Member registration) {
    member = requireNonNull(registration, "registration");
    registered = true;
  }

  void unregister() {
    registered = false;
  }

  /** Records a report that shows that the router is alive. */
  void recordPresent(boolean isServing, Source newSource, long nowNanos) {
    present = true;
    presentNanos = nowNanos;
    serving = isServing;
    if (newSource != Source.FLEET_REPORT) {
      reported = true;
      reportedNanos = nowNanos;
    }
    heard(newSource, nowNanos);
  }

  /** Records a report on the fleet by which the router is not available. */
  void recordAbsent(long nowNanos) {
    present = false;
    serving = false;
    heard(Source.FLEET_REPORT, nowNanos);
  }

  private void heard(Source newSource, long nowNanos) {
    reportExpected = false;
    source = newSource;
    heardNanos = nowNanos;
  }

  /** Waits for a report before the router counts as not available. */
  void expectReport(long nowNanos) {
    reportExpected = true;
    expectedSinceNanos = nowNanos;
  }

  boolean isPresent(long nowNanos) {
    return present && nowNanos - presentNanos <= LIVENESS_TIMEOUT.toNanos();
  }

  boolean isAvailable(long nowNanos) {
    return serving && isPresent(nowNanos);
  }

  boolean isUnavailable(long nowNanos) {
    return !isAvailable(nowNanos) && !awaitsReport(nowNanos);
  }

  private boolean awaitsReport(long nowNanos) {
    return reportExpected && nowNanos - expectedSinceNanos <= LIVENESS_TIMEOUT.toNanos();
  }

  /** Tells whether the router itself, or the relay of its domain, told of it since a moment. */
  boolean wasReportedSince(long sinceNanos) {
    return reported && reportedNanos - sinceNanos >= 0;
  }

  Availability availability(long nowNanos) {
    Duration age = Duration.ofNanos(nowNanos - heardNanos);
    return new Availability(isAvailable(nowNanos), registered, source, age);
  }
}
