package org.dandelionbeam.claims;

import static java.util.Objects.requireNonNull;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Entries of one bucket with their revision in the platform's key-value store.
 *
 * @param revision revision of the value, 0 if it is absent
 * @param entries entries of the bucket, oldest claim first
 */
public record ClaimBucket(long revision, List<ClaimEntry> entries) {
  /** Largest number of entries; at 40 bytes or less each they fit into the 1 MiB of a value. */
  public static final int MAX_ENTRIES = 24_000;

  /** Copies the list. */
  public ClaimBucket {
    entries = List.copyOf(entries);
  }

  Draft draft(long oldestEpochSeconds) {
    Draft draft = new Draft();
    for (ClaimEntry entry : entries) {
      if (entry.epochSeconds() >= oldestEpochSeconds) {
        draft.entries.put(entry.key(), entry);
      }
    }
    return draft;
  }

  /** Mutable copy of the entries, which a node edits before it writes them. */
  static final class Draft {
    private final Map<ClaimKey, ClaimEntry> entries = new LinkedHashMap<>();
    private final Set<ClaimKey> added = new HashSet<>();

    /** Returns the entry of a key, or null if the key is not claimed. */
    ClaimEntry entry(ClaimKey key) {
      return entries.get(requireNonNull(key, "key"));
    }

    boolean isHeldBy(ClaimKey key, long token) {
      ClaimEntry entry = entries.get(key);
      return entry != null && entry.token() == token;
    }

    boolean isFull() {
      return entries.size() >= MAX_ENTRIES;
    }

    /** Tells whether the claim of a key was added to this draft and is not stored yet. */
    boolean isAdded(ClaimKey key) {
      return added.contains(key);
    }

    void add(ClaimEntry entry) {
      entries.put(entry.key(), entry);
      added.add(entry.key());
    }

    void replace(ClaimEntry entry) {
      entries.put(entry.key(), entry);
    }

    void remove(ClaimKey key) {
      entries.remove(key);
    }

    List<ClaimEntry> entries() {
      return List.copyOf(entries.values());
    }
  }
}
