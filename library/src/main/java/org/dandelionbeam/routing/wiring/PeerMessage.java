package org.dandelionbeam.routing.wiring;

import static java.util.Objects.requireNonNull;

import java.util.List;
import org.dandelionbeam.routing.RouterName;
import org.dandelionbeam.scheduling.ScheduleReply;
import org.dandelionbeam.scheduling.ScheduleRequest;
import org.dandelionbeam.summary.SummaryMessage;

/** Content of one datagram between routers. */
sealed interface PeerMessage {

  /**
   * A report on a router or on many.
   *
   * @param message the report
   */
  record Summary(SummaryMessage message) implements PeerMessage {}

  /**
   * Messages of the router of callers to a scheduler.
   *
   * @param sender router that sends them
   * @param requests the messages in the order in which they are to be handled
   */
  record Requests(RouterName sender, List<ScheduleRequest> requests) implements PeerMessage {
    /** Copies the list. */
    public Requests {
      requireNonNull(sender, "sender");
      requests = List.copyOf(requests);
    }
  }

  /**
   * Messages of a scheduler to the router of callers; an empty list confirms that the scheduler is
   * alive.
   *
   * @param sender the scheduler
   * @param replies the messages in the order in which they are to be handled
   */
  record Replies(RouterName sender, List<ScheduleReply> replies) implements PeerMessage {
    /** Copies the list. */
    public Replies {
      requireNonNull(sender, "sender");
      replies = List.copyOf(replies);
    }
  }
}
