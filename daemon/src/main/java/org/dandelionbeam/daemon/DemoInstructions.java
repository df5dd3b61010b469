package org.dandelionbeam.daemon;

import java.io.PrintStream;
import org.dandelionbeam.config.Configuration;
import org.dandelionbeam.config.RequestKind;
import org.dandelionbeam.config.Service;
import org.dandelionbeam.config.ServiceType;
import org.dandelionbeam.daemon.fleet.Site;

/** Prints {@code curl} commands with which a user can try the demo. */
final class DemoInstructions {
  private static final String STREAM_BODY =
      "{\"model\":\"%s\",\"stream\":true,\"max_tokens\":24,"
          + "\"messages\":[{\"role\":\"user\",\"content\":\"When does it start?\"}]}";

  private final Site site;
  private final String baseUri;
  private final PrintStream out;

  DemoInstructions(Site site, int port, PrintStream out) {
    this.site = site;
    baseUri = "http://127.0.0.1:" + port;
    this.out = out;
  }

  void print() {
    Configuration configuration = site.configuration();
    String key = site.teamKey(configuration.teams().get(0).name());
    String model = configuration.models().keySet().stream().sorted().findFirst().orElseThrow();
    Service plainService =
        configuration.services().stream()
            .filter(service -> service.type() == ServiceType.PLAIN)
            .findFirst()
            .orElseThrow();
    RequestKind nonIdempotentKind =
        plainService.kinds().stream().filter(kind -> !kind.idempotent()).findFirst().orElseThrow();
    out.println("dandelionbeam demo is ready on " + baseUri);
    out.println();
    printCurl(
        "-N -H 'Authorization: Bearer %s' %s/v1/chat/completions -d '%s'",
        key, baseUri, STREAM_BODY.formatted(model));
    printCurl(
        "-H 'Authorization: Bearer %s' -H 'Idempotency-Key: first-1'"
            + " %s/v1/services/%s%s -d '{\"reference\":\"seat-1\"}'",
        key, baseUri, plainService.name(), nonIdempotentKind.path());
    printCurl("'%s/v1/addresses?domain=%s'", baseUri, configuration.domains().get(0).name());
    printCurl("-H 'Authorization: Bearer %s' %s/admin/v1/status", site.operatorKey(), baseUri);
    out.println();
    out.println("Stop it with Ctrl-C.");
    out.flush();
  }

  private void printCurl(String format, Object... values) {
    out.println("curl -s " + format.formatted(values));
  }
}
