package org.dandelionbeam.routing.wiring;

import static java.util.Objects.requireNonNull;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.dandelionbeam.resumption.PeerConfirmation;
import org.dandelionbeam.routing.FleetMembers.Member;
import org.dandelionbeam.routing.StoreData;
import org.dandelionbeam.routing.StoreVersions;

/**
 * Asks peers whether this router knows all upstreams, and answers such questions. Confined to one
 * event loop.
 */
final class PeerQuestions {
  static final String PATH = "/versions";

  /** A caller waits meanwhile. */
  private static final Duration TIMEOUT = Duration.ofMillis(300);

  /** Bounds the questions of a router whose callers take many streams up. */
  private static final Duration MIN_ROUND_INTERVAL = Duration.ofMillis(100);

  private final RouterContext router;
  private final PeerConfirmation confirmation;
  private final PeerHttpClient client;
  private List<Waiting> waiting = new ArrayList<>();
  private boolean scheduled;
  private long nextRoundNanos;

  PeerQuestions(RouterContext router, PeerHttpClient client) {
    this.router = requireNonNull(router, "router");
    this.client = requireNonNull(client, "client");
    confirmation = PeerConfirmation.of(router.fleet(), router::random);
    nextRoundNanos = router.now();
  }

  private record Waiting(long dueNanos, Consumer<Boolean> receiver) {}

  /** Returns the answer to the question of a peer. */
  AuxiliaryHttpServer.Page page() {
    router.advanceTime();
    return confirmation
        .answer()
        .map(
            versions ->
                new AuxiliaryHttpServer.Page(
                    HttpResponseStatus.OK.code(),
                    "text/plain",
                    versions.era() + " " + versions.of(StoreData.UPSTREAMS)))
        .orElseGet(
            () -> AuxiliaryHttpServer.Page.of(HttpResponseStatus.SERVICE_UNAVAILABLE.code()));
  }

  /**
   * Finds out whether this router knew, at some time in the past, of all upstreams that any router
   * knew of.
   *
   * @param sinceNanos that time
   * @param receiver gets the result, true if peers of all failure domains confirm it
   */
  void confirm(long sinceNanos, Consumer<Boolean> receiver) {
    waiting.add(new Waiting(sinceNanos + PeerConfirmation.REPORT_TIME.toNanos(), receiver));
    schedule();
  }

  private void schedule() {
    if (scheduled || waiting.isEmpty()) {
      return;
    }
    scheduled = true;
    long now = router.now();
    long firstDue = waiting.stream().mapToLong(each -> each.dueNanos - now).min().orElseThrow();
    long wait = Math.max(0, Math.max(firstDue, nextRoundNanos - now));
    router.loop().schedule(router.log().guarded(this::ask), wait, TimeUnit.NANOSECONDS);
  }

  private void ask() {
    scheduled = false;
    long now = router.advanceTime();
    nextRoundNanos = now + MIN_ROUND_INTERVAL.toNanos();
    List<Waiting> due = waiting.stream().filter(each -> now - each.dueNanos >= 0).toList();
    waiting = new ArrayList<>(waiting);
    waiting.removeAll(due);
    Round round = new Round(due);
    confirmation.peersToAsk().ifPresentOrElse(round::ask, () -> round.end(false, "none heard"));
    schedule();
  }

  /** Questions to peers, and the take-ups that wait for the answers. */
  private final class Round {
    private final List<Waiting> due;
    private int open;
    private boolean ended;

    Round(List<Waiting> due) {
      this.due = due;
    }

    void ask(List<Member> peers) {
      open = peers.size();
      if (open == 0) {
        end(true, "no other routers");
      }
      peers.forEach(
          peer -> client.get(peer, PATH, TIMEOUT, result -> receive(peer, answerOf(result))));
    }

    private void receive(Member peer, Optional<StoreVersions> answer) {
      router.advanceTime();
      open--;
      if (answer.filter(confirmation::isConfirmedBy).isEmpty()) {
        end(false, peer.name() + " knows " + answer.map(StoreVersions::toString).orElse("nothing"));
      } else if (open == 0) {
        end(true, "all agree");
      }
    }

    void end(boolean confirmed, String why) {
      if (ended) {
        return;
      }
      ended = true;
      router
          .log()
          .line("peers_asked")
          .with("requests", due.size())
          .with("confirmed", confirmed)
          .with("why", why)
          .write();
      due.forEach(each -> each.receiver.accept(confirmed));
    }
  }

  private static Optional<StoreVersions> answerOf(PeerHttpClient.Result result) {
    if (!(result instanceof PeerHttpClient.Result.Response response)
        || response.status() != HttpResponseStatus.OK.code()) {
      return Optional.empty();
    }
    String[] numbers = new String(response.body(), StandardCharsets.US_ASCII).split(" ", -1);
    try {
      return numbers.length == 2
          ? Optional.of(
              StoreVersions.ofEra(Long.parseLong(numbers[0]))
                  .with(StoreData.UPSTREAMS, Long.parseLong(numbers[1])))
          : Optional.empty();
    } catch (NumberFormatException e) {
      // An answer that can't be read confirms nothing; the round logs it so.
      return Optional.empty();
    }
  }
}
