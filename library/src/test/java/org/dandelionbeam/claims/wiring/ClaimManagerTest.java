package org.dandelionbeam.claims.wiring;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;
import org.dandelionbeam.base.ErrorCode;
import org.dandelionbeam.base.FleetException;
import org.dandelionbeam.base.RequestId;
import org.dandelionbeam.base.ServiceId;
import org.dandelionbeam.base.TeamId;
import org.dandelionbeam.base.Verdict;
import org.dandelionbeam.claims.ClaimBucket;
import org.dandelionbeam.claims.ClaimEntry;
import org.dandelionbeam.claims.ClaimKey;
import org.dandelionbeam.claims.ClaimResult;
import org.dandelionbeam.claims.ClaimSettings;
import org.dandelionbeam.entry.ClaimPort;
import org.dandelionbeam.runtime.EventThread;
import org.dandelionbeam.store.PlatformStore;
import org.testng.annotations.Test;

/** Checks claims on event threads and the encoding of buckets. */
public class ClaimManagerTest {
  private static final int MAX_VALUE_BYTES = 1 << 20;
  private static final TeamId TEAM = TeamId.of(1);
  private static final ServiceId SERVICE = ServiceId.of(2);
  private static final RequestId REQUEST = RequestId.of("request-1");
  private static final long TIMEOUT_SECONDS = 20;

  @Test
  public void aSecondNodeGetsTheRecordedOutcome() throws Exception {
    MemoryStore store = new MemoryStore();
    try (EventThread threadOfOne = EventThread.start("claims-1");
        EventThread threadOfTwo = EventThread.start("claims-2")) {
      ClaimManager one = ClaimManager.of(threadOfOne, store, ClaimSettings.defaults());
      ClaimManager two = ClaimManager.of(threadOfTwo, store, ClaimSettings.defaults());
      assertEquals(claim(one), new ClaimResult.Claimed());
      assertEquals(claim(two), new ClaimResult.AlreadyClaimed(Optional.empty()));
      one.finished(TEAM, SERVICE, "key", REQUEST, Verdict.RAN, 201);
      one.flush().get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
      assertEquals(store.writes, 2);
      CompletableFuture<ClaimPort.Answer> answer = new CompletableFuture<>();
      two.claim(TEAM, SERVICE, "key", REQUEST, answer::complete);
      assertEquals(
          answer.get(TIMEOUT_SECONDS, TimeUnit.SECONDS),
          new ClaimPort.Answer.Refused(
              ErrorCode.ALREADY_CLAIMED,
              "an earlier request with this key ended with status 201",
              Verdict.RAN));
    }
  }

  @Test
  public void anUnavailableStoreRefusesAsNotRun() throws Exception {
    MemoryStore store = new MemoryStore();
    store.unavailable = true;
    ClaimSettings defaults = ClaimSettings.defaults();
    ClaimSettings settings =
        new ClaimSettings(
            1,
            defaults.retention(),
            Duration.ofMillis(50),
            defaults.confirmationTimeout(),
            defaults.maxOutcomeDelay(),
            1);
    try (EventThread thread = EventThread.start("claims")) {
      ClaimManager manager = ClaimManager.of(thread, store, settings);
      CompletableFuture<ClaimPort.Answer> answer = new CompletableFuture<>();
      manager.claim(TEAM, SERVICE, "key", REQUEST, answer::complete);
      ClaimPort.Answer.Refused refused =
          (ClaimPort.Answer.Refused) answer.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
      assertEquals(refused.code(), ErrorCode.CLAIM_UNAVAILABLE);
      assertEquals(refused.verdict(), Verdict.NOT_RUN);
    }
  }

  @Test
  public void aFullBucketFitsIntoTheLargestValue() {
    List<ClaimEntry> entries =
        LongStream.range(0, ClaimBucket.MAX_ENTRIES)
            .mapToObj(
                i ->
                    new ClaimEntry(
                        new ClaimKey(Long.MIN_VALUE + i, Long.MIN_VALUE),
                        Long.MIN_VALUE,
                        ClaimEntry.State.MAY_HAVE_RUN,
                        4_000_000_000L,
                        599))
            .toList();
    byte[] value = BucketCodec.encode(entries);
    assertTrue(value.length <= MAX_VALUE_BYTES, value.length + " bytes");
    assertEquals(BucketCodec.decode(value), entries);
  }

  @Test
  public void aMalformedValueIsAnError() {
    assertThrows(FleetException.class, () -> BucketCodec.decode(new byte[] {1, 0x55}));
    assertThrows(FleetException.class, () -> BucketCodec.decode(new byte[] {9, (byte) 0x90}));
  }

  private static ClaimResult claim(ClaimManager manager) throws Exception {
    return manager.claim(TEAM, SERVICE, "key", REQUEST).get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  /** In-memory store that can be made unavailable. */
  private static final class MemoryStore implements PlatformStore {
    private final Map<String, Versioned> values = new HashMap<>();
    private volatile int writes;
    private volatile boolean unavailable;

    @Override
    public synchronized CompletableFuture<Versioned> read(String key) {
      return unavailable
          ? CompletableFuture.failedFuture(
              new FleetException(ErrorCode.STORE_UNAVAILABLE, "the store is unavailable"))
          : CompletableFuture.completedFuture(current(key));
    }

    @Override
    public synchronized CompletableFuture<SwapResult> compareAndSwap(
        String key, long expectedRevision, byte[] value) {
      Versioned current = current(key);
      if (current.revision() != expectedRevision) {
        return CompletableFuture.completedFuture(new SwapResult(false, current));
      }
      Versioned next = new Versioned(expectedRevision + 1, value);
      values.put(key, next);
      writes++;
      return CompletableFuture.completedFuture(new SwapResult(true, next));
    }

    @Override
    public CompletableFuture<Versioned> watch(String key, long after, Duration timeout) {
      throw new UnsupportedOperationException();
    }

    @Override
    public CompletableFuture<Lease> lease(String name, String holder, Duration length) {
      throw new UnsupportedOperationException();
    }

    private Versioned current(String key) {
      return values.getOrDefault(key, new Versioned(0, new byte[0]));
    }
  }
}
