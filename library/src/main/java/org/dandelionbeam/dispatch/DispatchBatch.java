package org.dandelionbeam.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.dandelionbeam.peer.PeerMessage;

/**
 * All parts that one node has for another at one time.
 *
 * @param instance number of the sender's process, which changes when it restarts
 * @param epoch revision of the sender's roster
 * @param withdrawn numbers that are not wanted
 * @param used numbers in use
 * @param ended ended attempts
 * @param carried attempts that an earlier owner granted
 * @param asked tickets
 * @param adverts state of owned upstreams
 * @param granted grants
 * @param queued tickets that wait
 * @param refused tickets without a grant
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
   * Sorts parts into a batch.
   *
   * @param instance number of the sender's process
   * @param epoch revision of the sender's roster
   * @param messages the parts
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
   * Hands out the parts: what frees slots first, then requests, then answers with the adverts
   * before them.
   *
   * @param receiver gets each part
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
