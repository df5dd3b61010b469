package org.dandelionbeam.peer.wiring;

import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.dandelionbeam.base.ServiceId;
import org.dandelionbeam.base.TeamId;
import org.dandelionbeam.share.ShareReport;
import org.dandelionbeam.share.ShareTotals;
import org.testng.Reporter;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Computes the bytes that the share component of one node sends and receives, with each message in
 * a frame of its own. Guards against reports that outgrow the byte budget in large fleets.
 */
public class ShareTrafficTest {
  private static final int FRAME_BYTES = Integer.BYTES + FrameAuthenticator.TAG_BYTES;
  private static final int MILLIS_PER_SECOND = 1_000;
  private static final double REQUESTS_PER_SECOND = 11.5;
  private static final int WAITING_POLL_TICKS = 4;
  private static final int MAX_ENTRIES_PER_SECOND = 16;
  private static final int BUDGET_BYTES_PER_SECOND = 3_000;
  private static final int INCARNATION = 1_700_000_000;
  private static final long COUNTER = 3_000_000_000L;

  private final PeerCodec codec = new PeerCodec();

  public ShareTrafficTest() {
    codec.register(30, ShareReport.class);
    codec.register(31, ShareTotals.class);
  }

  @DataProvider
  Object[][] sizes() {
    return new Object[][] {
      {8, 15, 0, 250},
      {8, 15, 0, 500},
      {8, 15, 15, 500},
      {8, 15, 0, 2_000},
      {100, 610, 0, 500},
      {100, 6_100, 0, 500},
      {200, 6_100, 0, 500},
      {410, 2_000, 0, 500},
      {410, 6_100, 0, 500},
      {410, 6_100, 30, 500},
      {410, 6_100, 60, 500},
      {410, 6_100, 0, 2_000},
    };
  }

  @Test(dataProvider = "sizes")
  public void nodeSendsAtMostHalfOfItsByteBudget(
      int routers, int teams, int waiting, int tickMillis) {
    SplittableRandom random = new SplittableRandom(1);
    int served = (int) Math.round(REQUESTS_PER_SECOND * tickMillis / MILLIS_PER_SECOND);
    int most = MAX_ENTRIES_PER_SECOND * tickMillis / MILLIS_PER_SECOND;
    int entries = Math.min(most, served + waiting / WAITING_POLL_TICKS);
    double bytes = 0;
    int ticks = 100;
    for (int i = 0; i < ticks; i++) {
      bytes += tickBytes(routers, teams, entries, random);
    }
    double perSecond = bytes / ticks * MILLIS_PER_SECOND / tickMillis;
    Reporter.log(
        "share: %d routers, %d teams, %d waiting here, tick %d ms: %.0f bytes/s sent and received"
            .formatted(routers, teams, waiting, tickMillis, perSecond),
        true);
    assertTrue(perSecond < BUDGET_BYTES_PER_SECOND / 2.0, perSecond + " bytes/s each way");
  }

  /**
   * Returns the bytes of one tick. A node replies to as many reports as it sends, since every node
   * is the home of about as many teams.
   */
  private double tickBytes(int routers, int teams, int entries, SplittableRandom random) {
    Map<Integer, Integer> entriesByHome = new HashMap<>();
    random
        .ints(entries, 0, teams)
        .distinct()
        .forEach(team -> entriesByHome.merge(team % routers, 1, Integer::sum));
    return entriesByHome.values().stream().mapToInt(this::exchangeBytes).sum();
  }

  private int exchangeBytes(int entries) {
    List<ShareReport.Entry> reported =
        IntStream.range(0, entries)
            .mapToObj(
                i ->
                    new ShareReport.Entry(
                        ServiceId.of(1), TeamId.of(6_000), COUNTER, 2_000, COUNTER))
            .toList();
    List<ShareTotals.Total> totals =
        IntStream.range(0, entries)
            .mapToObj(i -> new ShareTotals.Total(ServiceId.of(1), TeamId.of(6_000), COUNTER, 1))
            .toList();
    return 2 * FRAME_BYTES
        + codec.encode(new ShareReport(INCARNATION, 40_000, reported)).length
        + codec.encode(new ShareTotals(INCARNATION, 40_000, totals)).length;
  }
}
