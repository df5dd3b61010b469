package org.dandelionbeam.standins;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.io.IOException;
import java.time.Duration;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that the ledger stand-in counts the runs of each request, also under faults. */
public class LedgerStandInTest {

  @Test
  public void countsRunsByRequestAndByReference() throws Exception {
    try (LedgerStandIn ledger = LedgerStandIn.start(0, Duration.ZERO)) {
      Http http = new Http(ledger.port());
      String booking = "{\"reference\":\"seat-4\"}";
      String body = http.call("POST", "/bookings", booking, "X-Request-Id", "r1").body();
      http.call("POST", "/bookings", booking, "X-Request-Id", "r2");
      String id = Json.parse(body.getBytes()).path("id").asText();
      assertEquals(http.call("GET", "/bookings/" + id, "").body().contains("seat-4"), true);
      assertEquals(http.call("GET", "/bookings/none", "").statusCode(), 404);
      assertEquals(ledger.runsOfRequest("r1"), 1);
      assertEquals(ledger.runsOfReference("seat-4"), 2);
      assertEquals(ledger.duplicatedReferences(), 1);
    }
  }

  @DataProvider
  Object[][] faultsAndRuns() {
    return new Object[][] {
      {Fault.RESET_BEFORE_RUN, 0}, {Fault.RESET_AFTER_RUN, 1}, {Fault.RESET_MID_BODY, 1},
    };
  }

  @Test(dataProvider = "faultsAndRuns")
  public void faultBreaksOneResponseAndRunsAreStillCounted(Fault fault, int runs) {
    try (LedgerStandIn ledger = LedgerStandIn.start(0, Duration.ZERO)) {
      Http http = new Http(ledger.port());
      ledger.arm(FaultPlan.once(fault));
      assertThrows(
          IOException.class,
          () -> http.call("POST", "/payments", "{\"reference\":\"p\"}", "X-Request-Id", "r"));
      assertEquals(ledger.runsOfReference("p"), runs);
    }
  }
}
