package org.dandelionbeam.admin.wiring;

import io.micrometer.core.instrument.DistributionSummary;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * Table of teams and services by the cost of the requests that this router completed, largest
 * first.
 */
final class TopTeams {
  private static final int MAX_ROWS = 50;

  private TopTeams() {}

  static List<Map<String, Object>> of(MeterRegistry meters) {
    Map<String, Row> rows = new TreeMap<>();
    for (DistributionSummary cost : meters.find("dandelionbeam.cost").summaries()) {
      String team = cost.getId().getTag("team");
      String service = cost.getId().getTag("service");
      Timer firstByte =
          meters.find("dandelionbeam.first.byte").tags("team", team, "service", service).timer();
      double millis = firstByte == null ? 0 : firstByte.mean(TimeUnit.MILLISECONDS);
      rows.put(
          team + " " + service, new Row(team, service, cost.count(), cost.totalAmount(), millis));
    }
    return rows.values().stream()
        .sorted(Comparator.comparingDouble(Row::cost).reversed())
        .limit(MAX_ROWS)
        .map(Row::toJson)
        .toList();
  }

  private record Row(
      String team, String service, long requests, double cost, double firstByteMillis) {
    Map<String, Object> toJson() {
      Map<String, Object> shown = new LinkedHashMap<>();
      shown.put("team", team);
      shown.put("service", service);
      shown.put("requests", requests);
      shown.put("cost", cost);
      shown.put("meanFirstByteMillis", Math.round(firstByteMillis * 10) / 10.0);
      return shown;
    }
  }
}
