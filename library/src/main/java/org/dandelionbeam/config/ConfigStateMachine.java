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
 * Decides which configuration is in force on a node: takes events and returns the actions to
 * perform. Not thread-safe.
 *
 * <p>A node never brings a revision into force that is older than one it has had in force, or than
 * one that a peer has reported in force. A revision with any error is refused as a whole and the
 * previous one stays in force. A node that starts without a configuration asks the platform store
 * and a few peers at the same time, and uses a peer's response only if the platform store does not
 * respond in time.
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
   * Creates the state machine of a node that starts without a configuration.
   *
   * @param self id of the node
   * @param codec reads and writes the stored form
   * @param random chooses peers and randomizes retry delays
   * @param nowNanos monotonic time in nanoseconds
   * @return a state machine that does nothing before the first {@link #tick}
   */
  public static ConfigStateMachine of(
      NodeId self, ConfigCodec codec, RandomGenerator random, long nowNanos) {
    return new ConfigStateMachine(self, codec, random, nowNanos);
  }

  /**
   * Updates the members that are alive.
   *
   * @param alive live members; this node counts as one whether listed or not
   */
  public void updateMembers(List<NodeId> alive) {
    watchers.updateMembers(alive);
    rollout.updateMembers(watchers.ranking(), watchers.rank());
  }

  /**
   * Performs the work that is due; to be called about ten times a second.
   *
   * @param nowNanos monotonic time in nanoseconds
   * @return actions to perform
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
   * Starts applying an operator's change.
   *
   * @param change unique id of the change
   * @param expectedRevision revision that the change is based on
   * @param tree merged configuration tree
   * @param nowNanos monotonic time in nanoseconds
   * @return actions to perform; the {@link ConfigAction.Answer} is among them or among those of a
   *     later call
   */
  public List<ConfigAction> apply(
      String change, long expectedRevision, ConfigNode tree, long nowNanos) {
    pendingChanges.begin(change, expectedRevision, tree, nowNanos);
    return takeActions(nowNanos);
  }

  /**
   * Handles the result of a {@link ConfigAction.Write}.
   *
   * @param change id of the change
   * @param swapped whether the write took effect
   * @param revision revision now in the platform store
   * @param value value now in the platform store
   * @param nowNanos monotonic time in nanoseconds
   * @return actions to perform
   */
  public List<ConfigAction> onWriteCompleted(
      String change, boolean swapped, long revision, byte[] value, long nowNanos) {
    adopt(revision, value, List.of(), nowNanos);
    pendingChanges.onWriteCompleted(change, swapped, revision, value).ifPresent(actions::add);
    return takeActions(nowNanos);
  }

  /**
   * Handles the failure of a {@link ConfigAction.Write}.
   *
   * @param change id of the change
   * @param verdict whether the write may have taken effect
   * @param nowNanos monotonic time in nanoseconds
   * @return actions to perform
   */
  public List<ConfigAction> onWriteFailed(String change, Verdict verdict, long nowNanos) {
    pendingChanges.onWriteFailed(change, verdict, nowNanos);
    return takeActions(nowNanos);
  }

  /**
   * Handles the result of a {@link ConfigAction.Watch}.
   *
   * @param revision revision that the watch returned; the known one if nothing changed
   * @param value value that the watch returned
   * @param nowNanos monotonic time in nanoseconds
   * @return actions to perform
   */
  public List<ConfigAction> onWatchCompleted(long revision, byte[] value, long nowNanos) {
    watchers.onAnswer(nowNanos);
    if (revision > Math.max(revision(), refusedRevision)) {
      adopt(revision, value, List.of(), nowNanos);
    }
    return takeActions(nowNanos);
  }

  /**
   * Handles the result of a {@link ConfigAction.ReadCurrent}.
   *
   * @param revision revision in the platform store, 0 if the key is absent
   * @param value value in the platform store
   * @param nowNanos monotonic time in nanoseconds
   * @return actions to perform
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
   * Handles the failure of a {@link ConfigAction.Watch} or {@link ConfigAction.ReadCurrent}.
   *
   * @param nowNanos monotonic time in nanoseconds
   * @return actions to perform
   */
  public List<ConfigAction> onWatchFailed(long nowNanos) {
    watchers.onFailure(nowNanos);
    return takeActions(nowNanos);
  }

  /**
   * Handles a digest from a peer.
   *
   * @param from id of the peer that sent the message
   * @param message digest of the peer's state
   * @param nowNanos monotonic time in nanoseconds
   * @return actions to perform
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
   * Handles a peer's request for a newer configuration.
   *
   * @param from id of the peer that sent the message
   * @param message the request, with the revision that a delta may start from
   * @param nowNanos monotonic time in nanoseconds
   * @return actions to perform
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
   * Handles a configuration sent by a peer.
   *
   * @param from id of the peer that sent the message
   * @param message the full configuration, or the deltas that lead to it
   * @param nowNanos monotonic time in nanoseconds
   * @return actions to perform
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
   * Handles a rollout report from a child in the tree of members.
   *
   * @param from id of the peer that sent the message
   * @param message report on the child's subtree
   * @return actions to perform
   */
  public List<ConfigAction> onReport(NodeId from, RolloutReport message) {
    rollout.onReport(from, message);
    return List.of();
  }

  /**
   * Handles the revision that a peer has in force, which any of its messages may carry.
   *
   * @param peer id of the peer
   * @param revision revision in force on the peer
   */
  public void onPeerRevision(NodeId peer, long revision) {
    if (revision >= newestHeard && revision > revision()) {
      gossip.setNewestPeer(peer);
    }
    newestHeard = Math.max(newestHeard, revision);
  }

  /**
   * Returns the revision in force.
   *
   * @return the revision, 0 for none
   */
  public long revision() {
    return accepted.map(AcceptedConfig::revision).orElse(0L);
  }

  /**
   * Returns the stored form of the configuration in force.
   *
   * @return the bytes, empty if nothing is in force; must not be modified
   */
  public Optional<byte[]> stored() {
    return accepted.map(AcceptedConfig::stored);
  }

  /**
   * Returns what this node knows about the configuration and its rollout.
   *
   * @param nowNanos monotonic time in nanoseconds
   * @return the status at that time
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
    for (ConfigDelta delta : update.deltas()) {
      if (delta.from() == reached && bytes.isPresent()) {
        bytes = codec.patch(bytes.get(), delta.bytes());
        reached = delta.to();
        chain.add(delta);
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
    if (result instanceof Result.Accepted valid) {
      List<ConfigDelta> deltas = chain.isEmpty() ? deltaTo(revision, stored) : chain;
      if (deltas.isEmpty()) {
        deltaHistory.clear();
      }
      deltas.forEach(deltaHistory::add);
      accepted = Optional.of(new AcceptedConfig(revision, stored, valid.configuration()));
      bringIntoForce(nowNanos);
    } else if (result instanceof Result.Refused refused) {
      refuse(revision, refused.problems());
    }
  }

  private void refuse(long revision, List<ConfigProblem> found) {
    refusedRevision = Math.max(refusedRevision, revision);
    problems = found;
    String first = found.get(0).message();
    String detail =
        "revision " + revision + " refused, revision " + revision() + " stays in force: " + first;
    actions.add(new RecordEvent("config-refused", detail));
  }

  private boolean isNewer(long revision) {
    return revision > revision() && revision != refusedRevision;
  }

  private List<ConfigDelta> deltaTo(long revision, byte[] stored) {
    return accepted
        .flatMap(previous -> codec.delta(previous.stored(), stored))
        .map(delta -> List.of(new ConfigDelta(revision(), revision, delta)))
        .orElse(List.of());
  }

  private void bringIntoForce(long nowNanos) {
    AcceptedConfig inForce = accepted.orElseThrow();
    newestHeard = Math.max(newestHeard, inForce.revision());
    watchers.rotate(inForce.revision());
    inForceSinceNanos = nowNanos;
    pullFullValue = false;
    bootCandidate = Optional.empty();
    if (refusedRevision < inForce.revision()) {
      refusedRevision = 0;
      problems = List.of();
    }
    actions.add(new BringIntoForce(inForce.configuration()));
    actions.add(new RecordEvent("config-in-force", "revision " + inForce.revision()));
    actions.addAll(gossip.push(digest(nowNanos), deltaHistory.last(), nowNanos));
  }

  private Optional<PeerMessage> deltasFrom(long baseRevision) {
    return deltaHistory
        .since(baseRevision)
        .map(chain -> new ConfigUpdate(revision(), EMPTY, chain));
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
