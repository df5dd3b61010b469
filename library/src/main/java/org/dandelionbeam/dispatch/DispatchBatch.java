package org.dandelionbeam.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.dandelionbeam.peer.PeerMessage;

/**
 * Dispatch messages that one node sends to another together, sorted by type.
 *
 * @param instance number of the sender's process, which changes when it restarts
 * @param epoch revision of the sender's roster
 * @param withdrawn numbers of the placements that are withdrawn
 * @param used numbers of the placements whose grants are in use
 * @param ended attempts that ended
 * @param carried attempts in flight that an earlier owner granted
 * @param asked tickets for the receiver's upstreams
 * @param adverts state of upstreams that the sender owns
 * @param granted tickets with a grant
 * @param queued tickets that wait at the sender
 * @param refused tickets that the sender refused
 */
public record DispatchBatch(
    int instance,
    long epoch,
    List<Long> withdrawn,
    List<Long> used,
    List<DispatchMessage.Ended> ended,
    List<DispatchMessage.Carried> carried,
    List<DispatchMessage.Ask> asked,
    List<DispatchMessage.Advert> adverts,
    List<DispatchMessage.Granted> granted,
    List<DispatchMessage.Queued> queued,
    List<DispatchMessage.Refused> refused)
    implements PeerMessage {

  /** Copies the lists. */
  public DispatchBatch {
    withdrawn = List.copyOf(withdrawn);
    used = List.copyOf(used);
    ended = List.copyOf(ended);
    carried = List.copyOf(carried);
    asked = List.copyOf(asked);
    adverts = List.copyOf(adverts);
    granted = List.copyOf(granted);
    queued = List.copyOf(queued);
    refused = List.copyOf(refused);
  }

  /**
   * Returns a batch of messages, sorted by type.
   *
   * @param instance number of the sender's process
   * @param epoch revision of the sender's roster
   * @param messages the messages in order
   * @return the batch
   */
  public static DispatchBatch of(int instance, long epoch, List<DispatchMessage> messages) {
    return new DispatchBatch(
        instance,
        epoch,
        ofType(DispatchMessage.Withdrawn.class, messages).stream()
            .map(DispatchMessage.Withdrawn::number)
            .toList(),
        ofType(DispatchMessage.Used.class, messages).stream()
            .map(DispatchMessage.Used::number)
            .toList(),
        ofType(DispatchMessage.Ended.class, messages),
        ofType(DispatchMessage.Carried.class, messages),
        ofType(DispatchMessage.Ask.class, messages),
        ofType(DispatchMessage.Advert.class, messages),
        ofType(DispatchMessage.Granted.class, messages),
        ofType(DispatchMessage.Queued.class, messages),
        ofType(DispatchMessage.Refused.class, messages));
  }

  /**
   * Passes on the messages: first those that free slots, then tickets, then adverts and answers.
   *
   * @param receiver receives each message
   */
  public void forEach(Consumer<DispatchMessage> receiver) {
    withdrawn.forEach(number -> receiver.accept(new DispatchMessage.Withdrawn(number)));
    used.forEach(number -> receiver.accept(new DispatchMessage.Used(number)));
    ended.forEach(receiver);
    carried.forEach(receiver);
    asked.forEach(receiver);
    adverts.forEach(receiver);
    granted.forEach(receiver);
    queued.forEach(receiver);
    refused.forEach(receiver);
  }

  private static <L extends DispatchMessage> List<L> ofType(
      Class<L> type, List<DispatchMessage> messages) {
    List<L> found = new ArrayList<>();
    for (DispatchMessage message : messages) {
      if (type.isInstance(message)) {
        found.add(type.cast(message));
      }
    }
    return found;
  }
}
