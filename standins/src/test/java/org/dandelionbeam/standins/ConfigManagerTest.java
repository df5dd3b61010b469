package org.dandelionbeam.standins;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.lang.reflect.Proxy;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.dandelionbeam.base.MonotonicClock;
import org.dandelionbeam.base.NodeId;
import org.dandelionbeam.config.ApplyResult;
import org.dandelionbeam.config.ConfigNode;
import org.dandelionbeam.config.ConfigStatus;
import org.dandelionbeam.config.wiring.ConfigFiles;
import org.dandelionbeam.config.wiring.ConfigFiles.Text;
import org.dandelionbeam.config.wiring.ConfigManager;
import org.dandelionbeam.explain.Journal;
import org.dandelionbeam.membership.Ownership;
import org.dandelionbeam.peer.wiring.PeerMesh;
import org.dandelionbeam.runtime.EventThread;
import org.dandelionbeam.store.PlatformStore;
import org.dandelionbeam.store.wiring.HttpPlatformStore;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Four configuration managers over real connections and the platform stand-in: a change reaches
 * every node, concurrent changes conflict, and lost responses or an unreadable stored value leave
 * all nodes on one revision.
 */
public class ConfigManagerTest {
  private static final Path EXAMPLE = Path.of("../daemon/src/main/resources/examples/demo.yaml");
  private static final List<NodeId> NODES =
      List.of(NodeId.of("a"), NodeId.of("b"), NodeId.of("c"), NodeId.of("d"));

  private final List<AutoCloseable> opened = new ArrayList<>();
  private final List<ConfigManager> managers = new ArrayList<>();
  private PlatformStandIn platform;
  private EventLoopGroup loops;

  @BeforeMethod
  public void start() {
    platform = PlatformStandIn.start();
    opened.add(platform);
    loops = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    List<PeerMesh> meshes = NODES.stream().map(this::mesh).toList();
    int[] ports = meshes.stream().mapToInt(mesh -> mesh.listen("127.0.0.1", 0)).toArray();
    for (int i = 0; i < NODES.size(); i++) {
      for (int j = 0; j < NODES.size(); j++) {
        meshes.get(i).setAddress(NODES.get(j), "127.0.0.1", ports[j]);
      }
      managers.add(manager(i, meshes.get(i)));
    }
    managers.forEach(ConfigManager::start);
  }

  @AfterMethod
  public void stop() throws Exception {
    for (AutoCloseable part : opened) {
      part.close();
    }
    opened.clear();
    managers.clear();
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }

  @Test
  public void changesComeIntoForceOnEveryNodeAndConcurrentChangesConflict() throws Exception {
    CompletableFuture<ApplyResult> first = managers.get(0).apply(configWithWeight("4"), 0);
    long revision = accepted(first);
    awaitAll(revision);
    CompletableFuture<ApplyResult> one = managers.get(1).apply(configWithWeight("5"), revision);
    CompletableFuture<ApplyResult> two = managers.get(2).apply(configWithWeight("6"), revision);
    List<ApplyResult> results = List.of(one.get(15, SECONDS), two.get(15, SECONDS));
    assertEquals(
        results.stream().map(result -> result.getClass().getSimpleName()).sorted().toList(),
        List.of("Accepted", "Conflict"));
    awaitAll(revision + 1);
    assertEquals(managers.get(3).diff(configWithWeight("7")).get().size(), 1);
    ConfigStatus status = managers.get(3).status().get();
    assertEquals(status.revision(), revision + 1);
  }

  @Test
  public void changeIsAcceptedWhileThePlatformLosesResponses() throws Exception {
    long revision = accepted(managers.get(0).apply(configWithWeight("4"), 0));
    awaitAll(revision);
    platform.inject(PlatformFault.LOSE_ANSWER, 0.5);
    long next = accepted(managers.get(1).apply(configWithWeight("5"), revision));
    awaitAll(next);
  }

  @Test
  public void storedValueThatIsNoConfigurationIsRefused() throws Exception {
    long revision = accepted(managers.get(0).apply(configWithWeight("4"), 0));
    awaitAll(revision);
    PlatformStore store = HttpPlatformStore.of(platform.baseUri(), Duration.ofSeconds(1));
    byte[] invalid = "{}".getBytes(StandardCharsets.UTF_8);
    long invalidRevision =
        store.compareAndSwap("config", revision, invalid).get().current().revision();
    await(
        () ->
            managers.stream().filter(manager -> refusedRevision(manager) == invalidRevision).count()
                >= 3);
    assertTrue(managers.stream().allMatch(manager -> manager.revision() == revision));
  }

  private static final TimeUnit SECONDS = TimeUnit.SECONDS;

  private static long refusedRevision(ConfigManager manager) {
    return manager.status().join().refusedRevision();
  }

  private static long accepted(CompletableFuture<ApplyResult> result) throws Exception {
    return ((ApplyResult.Accepted) result.get(15, SECONDS)).revision();
  }

  private void awaitAll(long revision) {
    await(() -> managers.stream().allMatch(manager -> manager.revision() == revision));
  }

  private static void await(BooleanSupplier condition) {
    long end = System.nanoTime() + SECONDS.toNanos(15);
    while (!condition.getAsBoolean()) {
      assertTrue(System.nanoTime() - end < 0, "condition not met within 15 s");
      Thread.onSpinWait();
    }
  }

  private static ConfigNode configWithWeight(String weight) throws Exception {
    String text = Files.readString(EXAMPLE).replace("weight: 4", "weight: " + weight);
    return ConfigFiles.parse(List.of(new Text("demo.yaml", text))).tree();
  }

  private PeerMesh mesh(NodeId node) {
    byte[] key = "key".getBytes(StandardCharsets.UTF_8);
    PeerMesh mesh = PeerMesh.of(node, key, loops, (from, to) -> true, new SimpleMeterRegistry());
    opened.add(mesh);
    return mesh;
  }

  private ConfigManager manager(int i, PeerMesh mesh) {
    EventThread thread = EventThread.start("config-" + NODES.get(i));
    opened.add(thread);
    return ConfigManager.builder()
        .thread(thread)
        .network(mesh)
        .ownership(ownership(NODES.get(i)))
        .store(HttpPlatformStore.of(platform.baseUri(), Duration.ofSeconds(1)))
        .clock(MonotonicClock.system())
        .random(new Random(i))
        .journal(Journal.of(InstantSource.system()))
        .meters(new SimpleMeterRegistry())
        .build();
  }

  private static Ownership ownership(NodeId self) {
    Map<String, Object> returnValues = Map.of("self", self, "aliveMembers", NODES);
    return (Ownership)
        Proxy.newProxyInstance(
            Ownership.class.getClassLoader(),
            new Class<?>[] {Ownership.class},
            (proxy, method, arguments) -> returnValues.get(method.getName()));
  }
}
