package org.dandelionbeam.resumption;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.dandelionbeam.routing.ServiceName;

/**
 * Keeps what routers must know of streams after all of them have stopped. Each receiver is called
 * once, later and on the thread of the caller; a call whose outcome is not known has failed.
 */
public interface OriginStore {

  /**
   * What is known of a stream.
   *
   * @param origin what began it, empty if there is no record
   * @param versions all records of versions of the service
   */
  record Found(Optional<StreamOrigin> origin, List<VersionRecord> versions) {
    /** Copies the list. */
    public Found {
      requireNonNull(origin, "origin");
      versions = List.copyOf(versions);
    }
  }

  /**
   * Reads the record of a stream and those of the versions of a service.
   *
   * @param id the stream, empty if it isn't known
   * @param service the service
   * @param receiver gets what is known, empty if the call failed
   */
  void find(Optional<StreamId> id, ServiceName service, Consumer<Optional<Found>> receiver);

  /**
   * Writes the record of a version, which changes its revision if it exists.
   *
   * @param call service, version and era of the store
   * @param receiver gets whether the store has acknowledged the write
   */
  void confirm(VersionTracker.Call.Confirm call, Consumer<Boolean> receiver);

  /**
   * Removes the record of a version if its revision is still the same.
   *
   * @param record the record as it was read
   */
  void remove(VersionRecord record);

  /**
   * Writes records of streams, which end by themselves when no caller waits for the streams.
   *
   * @param origins what began the streams, at most {@link OriginBatch#MAX_RECORDS}
   * @param receiver gets whether the store has acknowledged the write
   */
  void write(Map<StreamId, StreamOrigin> origins, Consumer<Boolean> receiver);
}
