package org.dandelionbeam.routing.wiring;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.dandelionbeam.base.FailureDomain;
import org.dandelionbeam.routing.Endpoint;
import org.dandelionbeam.routing.FleetMembers.Member;
import org.dandelionbeam.routing.PromptProfile;
import org.dandelionbeam.routing.RouterName;
import org.dandelionbeam.routing.SentPrompt;
import org.dandelionbeam.routing.StoreVersions;
import org.dandelionbeam.routing.UpstreamLoad;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Encoding and decoding of the reports between routers. */
public class PeerReportTest {
  private static PeerReport report() {
    Endpoint callers = new Endpoint("10.0.0.1", 80);
    Endpoint peers = new Endpoint("10.0.0.1", 81);
    return new PeerReport(
        new Member(RouterName.of("router-1"), callers, peers, FailureDomain.of("a"), 7),
        true,
        new StoreVersions(12, 34),
        false,
        Map.of(5, new UpstreamLoad(1, 2_000, 3_000), 6, UpstreamLoad.NONE),
        List.of(
            new SentPrompt(
                5, List.of(new PromptProfile.Part(1, 600), new PromptProfile.Part(-2, 9)))),
        Map.of(9, 1.5));
  }

  @Test
  public void reportSurvivesEncodingAndDecoding() throws IOException {
    assertEquals(PeerReport.decode(report().encode()), report());
  }

  @DataProvider
  public Object[][] invalidBytes() throws IOException {
    byte[] bytes = report().encode();
    byte[] otherFormat = bytes.clone();
    otherFormat[0]++;
    return new Object[][] {
      {new byte[0]}, {Arrays.copyOf(bytes, bytes.length / 2)}, {otherFormat}, {new byte[] {1, 2, 3}}
    };
  }

  @Test(dataProvider = "invalidBytes")
  public void invalidBytesAreRejected(byte[] bytes) {
    assertThrows(IOException.class, () -> PeerReport.decode(bytes));
  }
}
