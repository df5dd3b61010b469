package org.dandelionbeam.routing.wiring;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import java.util.function.Consumer;
import org.dandelionbeam.resumption.Continuation;
import org.dandelionbeam.resumption.StreamId;
import org.dandelionbeam.resumption.StreamOrigin;
import org.dandelionbeam.routing.Ticket;
import org.dandelionbeam.routing.UpstreamInstance;

/**
 * Binds a request whose stream may be resumed to the software version that began the stream.
 * Confined to one event loop.
 */
final class ResumableStream {
  private final RouterContext router;
  private final Ticket ticket;
  private final HttpDialect.RequestMetadata metadata;
  private boolean begun;

  ResumableStream(RouterContext router, Ticket ticket, HttpDialect.RequestMetadata metadata) {
    this.router = requireNonNull(router, "router");
    this.ticket = requireNonNull(ticket, "ticket");
    this.metadata = requireNonNull(metadata, "metadata");
  }

  /**
   * Finds out where the stream may go on if its caller has the first events.
   *
   * @param submit runs at once or later, if the request may be submitted
   * @param refuse gets the reason if it must not go on
   */
  void resolve(Runnable submit, Consumer<Continuation.Reason> refuse) {
    if (metadata.resumption().isEmpty()) {
      submit.run();
      return;
    }
    Optional<StreamId> id =
        metadata.resumption().get().startedBy().map(first -> StreamId.of(ticket.team(), first));
    router
        .resumption()
        .resolve(
            id,
            ticket.service(),
            continuation -> {
              if (continuation instanceof Continuation.At at) {
                ticket.requireVersion(at.version());
                submit.run();
              } else if (continuation instanceof Continuation.Unknown unknown) {
                refuse.accept(unknown.reason());
              }
            });
  }

  /** Records that events of an upstream have been sent to the caller. */
  void recordEvents(UpstreamInstance upstream) {
    if (begun) {
      return;
    }
    begun = true;
    ticket.requireVersion(upstream.version());
    if (metadata.resumption().isEmpty()) {
      StreamId id = StreamId.of(ticket.team(), metadata.requestId());
      router.resumption().recordBegun(id, new StreamOrigin(upstream.service(), upstream.version()));
    }
  }
}
