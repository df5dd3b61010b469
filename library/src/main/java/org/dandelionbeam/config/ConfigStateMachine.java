package org.dandelionbeam.config;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.dandelionbeam.base.NodeId;
import org.dandelionbeam.base.Verdict;
import org.dandelionbeam.config.ConfigAction.BringIntoForce;
import org.dandelionbeam.config.ConfigAction.ReadCurrent;
import org.dandelionbeam.config.ConfigAction.RecordEvent;
import org.dandelionbeam.config.ConfigAction.Send;
import org.dandelionbeam.config.ConfigAction.Watch;
import org.dandelionbeam.config.ConfigReader.Result;
import org.dandelionbeam.config.PendingChanges.InForceState;
import org.dandelionbeam.peer.PeerMessage;

/**
 * Decides which configuration is in force on a node; single-threaded.
 *
 * <p>A node never brings a revision into force that is older than one it had in force, or than one
 * that a peer said to have in force. A revision with errors is refused whole and the one before it
 * stays. A node that starts without a configuration asks a few peers and the platform at once, and
 * takes a peer's answer only when the platform does not answer in time.
 */
public final class ConfigStateMachine {
  private static final long BOOT_WINDOW_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);
  private static final long BOOT_RETRY_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(400);
  private static final long REPORT_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);
  private static final byte[] EMPTY = new byte[0];

  private final ConfigCodec codec;
  private final WatcherSelection watchers;
  private final ConfigGossip gossip;
  private final RolloutAggregator rollout;
  private final PendingChanges pendingChanges;
  private final DeltaHistory deltaHistory = new DeltaHistory();
  private final List<ConfigAction> actions = new ArrayList<>();
  private Optional<AcceptedConfig> accepted = Optional.empty();
  private Optional<ConfigUpdate> bootCandidate = Optional.empty();
  private List<ConfigProblem> problems = List.of();
  private long refusedRevision;
  private long newestHeard;
  private long inForceSinceNanos;
  private boolean pullFullValue;
  private boolean hasReadPlatform;
  private boolean hasSeenPeers;
  private long bootEndsAtNanos;
  private long nextBootRequestAtNanos;
  private long nextReportAtNanos;
  private RolloutReport lastReport = new RolloutReport(0, 0, List.of());

  private ConfigStateMachine(
      NodeId self, ConfigCodec codec, RandomGenerator random, long nowNanos) {
    this.codec = requireNonNull(codec, "codec");
    watchers = new WatcherSelection(requireNonNull(self, "self"), random, nowNanos);
    gossip = new ConfigGossip(self, watchers, nowNanos);
    rollout = new RolloutAggregator(self, nowNanos);
    pendingChanges = new PendingChanges(codec);
    bootEndsAtNanos = nowNanos + BOOT_WINDOW_NANOS;
    nextBootRequestAtNanos = nowNanos;
    inForceSinceNanos = nowNanos;
    nextReportAtNanos = nowNanos;
  }

  /**
   * Returns the decisions of a node that starts without a configuration.
   *
   * @param self the node
   * @param codec reads and writes the stored form
   * @param random chooses peers and spreads retries
   * @param nowNanos monotonic time
   * @return decisions that wait for the first {@link #tick}
   */
  public static ConfigStateMachine of(
      NodeId self, ConfigCodec codec, RandomGenerator random, long nowNanos) {
    return new ConfigStateMachine(self, codec, random, nowNanos);
  }

  /**
   * Learns the members that are alive.
   *
   * @param alive the members; this node counts as one in any case
   */
  public void updateMembers(List<NodeId> alive) {
    watchers.updateMembers(alive);
    rollout.updateMembers(watchers.ranking(), watchers.rank());
  }

  /**
   * Does what time makes due; to be called about ten times a second.
   *
   * @param nowNanos monotonic time
   * @return what to do
   */
  public List<ConfigAction> tick(long nowNanos) {
    if (accepted.isEmpty()) {
      requestFirstConfiguration(nowNanos);
    }
    if (!isBooting(nowNanos) && watchers.tryBeginCall(nowNanos)) {
      actions.add(
          hasReadPlatform ? new Watch(Math.max(revision(), refusedRevision)) : new ReadCurrent());
    }
    if (knowsNewer()) {
      pull(nowNanos);
    }
    sendReport(nowNanos);
    actions.addAll(gossip.tick(digest(nowNanos), nowNanos));
    return takeActions(nowNanos);
  }

  /**
   * Begins an operator's change.
   *
   * @param change id of the change, never used before
   * @param expectedRevision revision that the change is based on
   * @param tree the merged tree
   * @param nowNanos monotonic time
   * @return what to do; an {@link ConfigAction.ResponseListener} comes now or later
   */
  public List<ConfigAction> apply(
      String change, long expectedRevision, ConfigNode tree, long nowNanos) {
    pendingChanges.begin(change, expectedRevision, tree, nowNanos);
    return takeActions(nowNanos);
  }

  /**
   * Takes the answer to a {@link ConfigAction.Write}.
   *
   * @param change id of the change
   * @param swapped whether the write took effect
   * @param revision revision now in the platform
   * @param value value now in the platform
   * @param nowNanos monotonic time
   * @return what to do
   */
  public List<ConfigAction> onWriteCompleted(
      String change, boolean swapped, long revision, byte[] value, long nowNanos) {
    adopt(revision, value, List.of(), nowNanos);
    pendingChanges.onWriteCompleted(change, swapped, revision, value).ifPresent(actions::add);
    return takeActions(nowNanos);
  }

  /**
   * Notes that a {@link ConfigAction.Write} failed.
   *
   * @param change id of the change
   * @param verdict whether it may have taken effect
   * @param nowNanos monotonic time
   * @return what to do
   */
  public List<ConfigAction> onWriteFailed(String change, Verdict verdict, long nowNanos) {
    pendingChanges.onWriteFailed(change, verdict, nowNanos);
    return takeActions(nowNanos);
  }

  /**
   * Takes the answer to a {@link ConfigAction.Watch}.
   *
   * @param revision revision of the answer; the known one if nothing changed
   * @param value value of the answer
   * @param nowNanos monotonic time
   * @return what to do
   */
  public List<ConfigAction> onWatchCompleted(long revision, byte[] value, long nowNanos) {
    watchers.onAnswer(nowNanos);
    if (revision > Math.max(revision(), refusedRevision)) {
      adopt(revision, value, List.of(), nowNanos);
    }
    return takeActions(nowNanos);
  }

  /**
   * Takes the answer to a {@link ConfigAction.ReadCurrent}.
   *
   * @param revision revision in the platform, 0 if the key is absent
   * @param value value in the platform
   * @param nowNanos monotonic time
   * @return what to do
   */
  public List<ConfigAction> onReadCompleted(long revision, byte[] value, long nowNanos) {
    watchers.onAnswer(nowNanos);
    hasReadPlatform = true;
    if (revision > 0) {
      adopt(revision, value, List.of(), nowNanos);
    }
    adoptBootCandidate(nowNanos);
    return takeActions(nowNanos);
  }

  /**
   * Notes that a {@link ConfigAction.Watch} or {@link ConfigAction.ReadCurrent} failed.
   *
   * @param nowNanos monotonic time
   * @return what to do
   */
  public List<ConfigAction> onWatchFailed(long nowNanos) {
    watchers.onFailure(nowNanos);
    return takeActions(nowNanos);
  }

  /**
   * Learns which revision a peer has in force.
   *
   * @param from the peer
   * @param message its digest
   * @param nowNanos monotonic time
   * @return what to do
   */
  public List<ConfigAction> onDigest(NodeId from, ConfigDigest message, long nowNanos) {
    watchers.onPeerContact(TimeUnit.MILLISECONDS.toNanos(message.contactAgeMillis()), nowNanos);
    rollout.onTotal(message.total(), nowNanos);
    onPeerRevision(from, message.revision());
    if (knowsNewer()) {
      pull(nowNanos);
    } else if (message.seenRevision() < revision()) {
      actions.add(new Send(from, deltasFrom(message.revision()).orElseGet(() -> digest(nowNanos))));
    }
    return takeActions(nowNanos);
  }

  /**
   * Answers a peer that asks for the configuration.
   *
   * @param from the peer
   * @param message what it has
   * @param nowNanos monotonic time
   * @return what to do
   */
  public List<ConfigAction> onPull(NodeId from, ConfigPull message, long nowNanos) {
    if (accepted.isEmpty() || message.baseRevision() >= revision()) {
      actions.add(new Send(from, digest(nowNanos)));
    } else {
      actions.add(new Send(from, deltasFrom(message.baseRevision()).orElseGet(this::fullUpdate)));
    }
    return takeActions(nowNanos);
  }

  /**
   * Takes the configuration of a peer.
   *
   * @param from the peer
   * @param message the configuration or the steps to it
   * @param nowNanos monotonic time
   * @return what to do
   */
  public List<ConfigAction> onUpdate(NodeId from, ConfigUpdate message, long nowNanos) {
    onPeerRevision(from, message.revision());
    if (isNewer(message.revision())) {
      if (message.fullValue().length == 0) {
        applyDeltas(message, nowNanos);
      } else if (isBooting(nowNanos)) {
        bootCandidate = bootCandidate.filter(best -> best.revision() >= message.revision());
        bootCandidate = Optional.of(bootCandidate.orElse(message));
      } else {
        adopt(message.revision(), message.fullValue(), List.of(), nowNanos);
      }
    }
    return takeActions(nowNanos);
  }

  /**
   * Takes the report of a part of the members.
   *
   * @param from the peer
   * @param message its report
   * @return what to do
   */
  public List<ConfigAction> onReport(NodeId from, RolloutReport message) {
    rollout.onReport(from, message);
    return List.of();
  }

  /**
   * Notes a revision that a peer was heard to have in force, by whatever message.
   *
   * @param peer the peer
   * @param revision its revision
   */
  public void onPeerRevision(NodeId peer, long revision) {
    if (revision >= newestHeard && revision > revision()) {
      gossip.newestPeer(peer);
    }
    newestHeard = Math.max(newestHeard, revision);
  }

  /**
   * Returns the revision in force.
   *
   * @return 0 for none
   */
  public long revision() {
    return accepted.map(AcceptedConfig::revision).orElse(0L);
  }

  /**
   * Returns the stored form of what is in force.
   *
   * @return the bytes, empty if nothing is in force; callers must not change them
   */
  public Optional<byte[]> stored() {
    return accepted.map(AcceptedConfig::stored);
  }

  /**
   * Returns what this node knows.
   *
   * @param nowNanos monotonic time
   * @return the status
   */
  public ConfigStatus status(long nowNanos) {
    long age = nowNanos - inForceSinceNanos;
    return new ConfigStatus(
        revision(), age, newestHeard, refusedRevision, problems, rollout.total(nowNanos));
  }

  private void sendReport(long nowNanos) {
    RolloutReport next = rollout.aggregate(revision(), nowNanos);
    boolean isDue = nowNanos - nextReportAtNanos >= 0;
    if (isDue || !next.equals(lastReport)) {
      lastReport = next;
      nextReportAtNanos = nowNanos + REPORT_INTERVAL_NANOS;
      rollout.parent().ifPresent(parent -> actions.add(new Send(parent, next)));
    }
  }

  private void requestFirstConfiguration(long nowNanos) {
    if (seesFirstPeers()) {
      hasSeenPeers = true;
      bootEndsAtNanos = nowNanos + BOOT_WINDOW_NANOS;
    }
    if (!isBooting(nowNanos)) {
      adoptBootCandidate(nowNanos);
    } else if (nowNanos - nextBootRequestAtNanos >= 0) {
      nextBootRequestAtNanos = nowNanos + BOOT_RETRY_DELAY_NANOS;
      actions.addAll(gossip.sendBootDigests(digest(nowNanos)));
      actions.add(new ReadCurrent());
    }
  }

  private boolean isBooting(long nowNanos) {
    boolean isEarly = nowNanos - bootEndsAtNanos < 0 || seesFirstPeers();
    return accepted.isEmpty() && !hasReadPlatform && isEarly;
  }

  private boolean seesFirstPeers() {
    return !hasSeenPeers && watchers.ranking().size() > 1;
  }

  private void adoptBootCandidate(long nowNanos) {
    Optional<ConfigUpdate> best = bootCandidate;
    bootCandidate = Optional.empty();
    best.ifPresent(update -> adopt(update.revision(), update.fullValue(), List.of(), nowNanos));
  }

  private boolean knowsNewer() {
    long known = bootCandidate.map(ConfigUpdate::revision).orElse(0L);
    return newestHeard > known && isNewer(newestHeard);
  }

  private void pull(long nowNanos) {
    actions.addAll(gossip.pull(pullFullValue ? 0 : revision(), nowNanos));
  }

  private void applyDeltas(ConfigUpdate update, long nowNanos) {
    Optional<byte[]> bytes = stored();
    List<ConfigDelta> chain = new ArrayList<>();
    long reached = revision();
    for (ConfigDelta step : update.deltas()) {
      if (step.from() == reached && bytes.isPresent()) {
        bytes = codec.patch(bytes.get(), step.bytes());
        reached = step.to();
        chain.add(step);
      }
    }
    if (reached == update.revision() && bytes.isPresent()) {
      adopt(reached, bytes.get(), chain, nowNanos);
    } else {
      pullFullValue = bytes.isEmpty();
      pull(nowNanos);
    }
  }

  private void adopt(long revision, byte[] stored, List<ConfigDelta> chain, long nowNanos) {
    if (!isNewer(revision) || revision < newestHeard) {
      return;
    }
    Result result = codec.decode(stored, revision);
    if (result instanceof Result.Accepted read) {
      List<ConfigDelta> known = chain.isEmpty() ? deltaTo(revision, stored) : chain;
      if (known.isEmpty()) {
        deltaHistory.clear();
      }
      known.forEach(deltaHistory::add);
      accepted = Optional.of(new AcceptedConfig(revision, stored, read.configuration()));
      bringIntoForce(nowNanos);
    } else if (result instanceof Result.Refused wrong) {
      refuse(revision, wrong.problems());
    }
  }

  private void refuse(long revision, List<ConfigProblem> found) {
    refusedRevision = Math.max(refusedRevision, revision);
    problems = found;
    String first = found.get(0).message();
    String detail = "revision " + revision + " refused, " + revision() + " stays: " + first;
    actions.add(new RecordEvent("config-refused", detail));
  }

  private boolean isNewer(long revision) {
    return revision > revision() && revision != refusedRevision;
  }

  private List<ConfigDelta> deltaTo(long revision, byte[] stored) {
    return accepted
        .flatMap(old -> codec.delta(old.stored(), stored))
        .map(delta -> List.of(new ConfigDelta(revision(), revision, delta)))
        .orElse(List.of());
  }

  private void bringIntoForce(long nowNanos) {
    AcceptedConfig now = accepted.orElseThrow();
    newestHeard = Math.max(newestHeard, now.revision());
    watchers.rotate(now.revision());
    inForceSinceNanos = nowNanos;
    pullFullValue = false;
    bootCandidate = Optional.empty();
    if (refusedRevision < now.revision()) {
      refusedRevision = 0;
      problems = List.of();
    }
    actions.add(new BringIntoForce(now.configuration()));
    actions.add(new RecordEvent("config-in-force", "revision " + now.revision()));
    actions.addAll(gossip.push(digest(nowNanos), deltaHistory.last(), nowNanos));
  }

  private Optional<PeerMessage> deltasFrom(long have) {
    return deltaHistory.since(have).map(chain -> new ConfigUpdate(revision(), EMPTY, chain));
  }

  private ConfigUpdate fullUpdate() {
    return new ConfigUpdate(revision(), stored().orElseThrow(), List.of());
  }

  private ConfigDigest digest(long nowNanos) {
    long age = TimeUnit.NANOSECONDS.toMillis(watchers.contactAgeNanos(nowNanos));
    int bounded = (int) Math.min(Integer.MAX_VALUE, age);
    long seen = Math.max(revision(), refusedRevision);
    return new ConfigDigest(revision(), seen, bounded, rollout.total(nowNanos));
  }

  private List<ConfigAction> takeActions(long nowNanos) {
    if (!pendingChanges.isEmpty()) {
      InForceState state = new InForceState(revision(), refusedRevision, newestHeard, stored());
      actions.addAll(pendingChanges.advance(state, nowNanos));
    }
    List<ConfigAction> result = List.copyOf(actions);
    actions.clear();
    return result;
  }
}
