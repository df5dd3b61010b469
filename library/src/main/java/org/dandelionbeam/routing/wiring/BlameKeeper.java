package org.dandelionbeam.routing.wiring;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.dandelionbeam.routing.Blame;
import org.dandelionbeam.routing.BlameRecords;
import org.dandelionbeam.routing.BlameStore;
import org.dandelionbeam.routing.CrashBlame;
import org.dandelionbeam.routing.FleetMembers;
import org.dandelionbeam.routing.FleetState;
import org.dandelionbeam.routing.Suspect;

/** Sees to it that what is blamed for crashes outlasts routers. Confined to one event loop. */
final class BlameKeeper {
  private final RouterContext router;
  private final BlameStore store;
  private final BlameRecords records = BlameRecords.create();

  BlameKeeper(RouterContext router, BlameStore store) {
    this.router = requireNonNull(router, "router");
    this.store = requireNonNull(store, "store");
  }

  /** Makes the call that is due; to be called several times a second. */
  void update() {
    long now = router.advanceTime();
    FleetState fleet = router.fleet();
    CrashBlame blame = fleet.crashBlame();
    blame.takeDecided().forEach(decided -> records.recordDecided(decided.suspect()));
    Duration delay = BlameRecords.checkDelay(fleet.members().all().size(), router.randomFraction());
    Optional<BlameRecords.Call> call = records.next(blame.blamed(now), era(), delay, now);
    if (call.isEmpty()) {
      return;
    }
    if (call.get() instanceof BlameRecords.Call.Write write) {
      write(write.blame());
    } else {
      store.read(this::receive);
    }
  }

  private long era() {
    return router.fleet().storeVersions().era();
  }

  private void receive(Optional<Map<Suspect, Duration>> found) {
    long now = router.advanceTime();
    if (found.isPresent()) {
      router.fleet().crashBlame().recordBlamed(found.get(), now);
    } else {
      router.log().line("blame_not_read").write();
    }
    records.recordRead(found.map(Map::keySet), era(), now);
  }

  private void write(Blame blame) {
    store.write(
        blame,
        acknowledged -> {
          router
              .log()
              .line(acknowledged ? "blame_written" : "blame_not_written")
              .with("suspect", blame.suspect())
              .write();
          records.recordWritten(blame.suspect(), acknowledged, era(), router.advanceTime());
        });
  }

  /** Tells whether nothing that is blamed would be lost with this router. */
  boolean isSafe() {
    long now = router.advanceTime();
    FleetMembers members = router.fleet().members();
    boolean othersServe =
        members.available(now).stream().anyMatch(member -> !member.equals(members.self()));
    Set<Suspect> blamed = router.fleet().crashBlame().blamed(now).keySet();
    return othersServe || records.areStored(blamed);
  }
}
