package org.dandelionbeam.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.dandelionbeam.base.FailureDomain;
import org.dandelionbeam.node.RouterSettings;
import org.dandelionbeam.node.wiring.RouterNode;
import org.dandelionbeam.standins.PlatformStandIn;
import org.testng.annotations.Test;

public class FirstConfigurationTest {
  private static final String EXAMPLES = "src/main/resources/examples/";
  private static final String FLEET_KEY = "the-key-of-this-fleet";
  private static final String APPLY =
      "config apply " + EXAMPLES + "demo.yaml " + EXAMPLES + "demo-site.yaml --expected-revision 0";

  private static RouterNode start(PlatformStandIn platform) {
    int port = ChildProcess.freePorts(2);
    return RouterNode.start(
        RouterSettings.builder()
            .ports(port, port + 1)
            .domain(FailureDomain.of("a"))
            .platform(platform.baseUri())
            .fleetKey(FLEET_KEY.getBytes(StandardCharsets.UTF_8))
            .seed(1)
            .build());
  }

  private static CommandRun run(RouterNode router, String key, String words) {
    Map<String, String> environment =
        Map.of(
            "DANDELIONBEAM_OPERATOR_KEY",
            key,
            "DANDELIONBEAM_ROUTER",
            "http://127.0.0.1:" + router.callerPort());
    List<String> arguments = List.of(words.split(" "));
    return CommandRun.of((out, err) -> Main.run(Commands.all(environment), arguments, out, err));
  }

  @Test
  public void fleetKeyAppliesTheFirstConfigurationAndNothingAfterIt() throws Exception {
    try (PlatformStandIn platform = PlatformStandIn.start()) {
      RouterNode router = start(platform);
      try {
        CountDownLatch inForce = new CountDownLatch(1);
        router.config().onChange(configuration -> inForce.countDown());

        CommandRun withWrongKey = run(router, "another-key", APPLY);
        CommandRun first = run(router, FLEET_KEY, APPLY);

        assertEquals(withWrongKey.status(), 1);
        assertTrue(withWrongKey.err().startsWith("UNAUTHORIZED: "), withWrongKey.err());
        assertEquals(first.status(), 0, first.err());
        assertTrue(inForce.await(30, TimeUnit.SECONDS));
        assertTrue(run(router, FLEET_KEY, "status").err().startsWith("UNAUTHORIZED: "));
        assertEquals(run(router, "demo-operator", "status").status(), 0);
      } finally {
        router.kill();
      }
    }
  }
}
