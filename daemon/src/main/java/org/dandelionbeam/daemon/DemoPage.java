package org.dandelionbeam.daemon;

import java.io.PrintStream;
import org.dandelionbeam.config.Configuration;
import org.dandelionbeam.config.RequestKind;
import org.dandelionbeam.config.Service;
import org.dandelionbeam.config.ServiceType;
import org.dandelionbeam.daemon.fleet.Site;

/** Lines that a person can copy to try the demo. */
final class DemoPage {
  private static final String STREAM_BODY =
      "{\"model\":\"%s\",\"stream\":true,\"max_tokens\":24,"
          + "\"messages\":[{\"role\":\"user\",\"content\":\"When does it start?\"}]}";

  private final Site site;
  private final String base;
  private final PrintStream out;

  DemoPage(Site site, int port, PrintStream out) {
    this.site = site;
    base = "http://127.0.0.1:" + port;
    this.out = out;
  }

  void print() {
    Configuration configuration = site.configuration();
    String key = site.teamKey(configuration.teams().get(0).name());
    String model = configuration.models().keySet().stream().sorted().findFirst().orElseThrow();
    Service plain =
        configuration.services().stream()
            .filter(service -> service.type() == ServiceType.PLAIN)
            .findFirst()
            .orElseThrow();
    RequestKind once =
        plain.kinds().stream().filter(kind -> !kind.idempotent()).findFirst().orElseThrow();
    out.println("dandelionbeam demo is ready on " + base);
    out.println();
    line(
        "-N -H 'Authorization: Bearer %s' %s/v1/chat/completions -d '%s'",
        key, base, STREAM_BODY.formatted(model));
    line(
        "-H 'Authorization: Bearer %s' -H 'Idempotency-Key: first-1'"
            + " %s/v1/services/%s%s -d '{\"reference\":\"seat-1\"}'",
        key, base, plain.name(), once.path());
    line("'%s/v1/addresses?domain=%s'", base, configuration.domains().get(0).name());
    line("-H 'Authorization: Bearer %s' %s/admin/v1/status", site.operatorKey(), base);
    out.println();
    out.println("Stop it with Ctrl-C.");
    out.flush();
  }

  private void line(String format, Object... values) {
    out.println("curl -s " + format.formatted(values));
  }
}
