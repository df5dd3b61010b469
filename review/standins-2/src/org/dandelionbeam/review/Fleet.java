package org.dandelionbeam.review;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/** The routers of a small deployment, one in each zone, and the platform's store. */
final class Fleet implements AutoCloseable {
  /** Exit status of a case in which the rule held. */
  static final int HELD = 0;

  /** Exit status of a case in which the rule was broken. */
  static final int BROKEN = 1;

  /** Exit status of a case that could not run. */
  static final int NOT_RUN = 2;

  private static final String NETWORK = "127.0.53.";
  private static final int FIRST_HOST = 11;
  private static final int FIRST_PORT = 20_000;
  private static final int LAST_PORT = 30_000;
  private static final int PORTS = 5;
  private static final int PORT_STEP = 20;
  private static final List<String> ZONES = List.of("a", "b", "c");

  private final StoreStandIn store;
  private final List<Router> routers = new ArrayList<>();

  /** What a case does with a fleet; returns an exit status. */
  interface Play {
    int run(Recorder recorder, Fleet fleet) throws IOException, InterruptedException;
  }

  /** Plays a case, and ends all processes that it has started. */
  static int play(Path record, Play play) {
    try (Recorder recorder = new Recorder(record)) {
      Path folder = Files.createTempDirectory("review-");
      try (Fleet fleet = new Fleet(folder)) {
        Runtime.getRuntime().addShutdownHook(new Thread(fleet::endProcesses));
        return play.run(recorder, fleet);
      } catch (IOException | InterruptedException | RuntimeException | LinkageError e) {
        recorder.line("the case could not run: %s", e);
        return NOT_RUN;
      } finally {
        delete(folder);
      }
    } catch (IOException e) {
      System.err.println("the case could not run: " + e);
      return NOT_RUN;
    }
  }

  private static void delete(Path folder) throws IOException {
    try (Stream<Path> files = Files.list(folder)) {
      for (Path file : files.toList()) {
        Files.delete(file);
      }
    }
    Files.delete(folder);
  }

  /** Prepares routers that are not started yet. */
  Fleet(Path folder) throws IOException {
    int first = firstFreePort();
    Router.Ports ports = new Router.Ports(first, first + 1, first + 2, first + 3);
    List<String> storeHosts = IntStream.range(0, ZONES.size()).mapToObj(Fleet::storeHost).toList();
    store = new StoreStandIn(storeHosts, first);
    for (int i = 0; i < ZONES.size(); i++) {
      String zone = ZONES.get(i);
      String address = storeHost(i) + ":" + first;
      routers.add(new Router("front-" + zone + "-1", zone, host(i), ports, address, folder));
    }
  }

  /** Returns the address at which a router finds the store. */
  static String storeHost(int router) {
    return NETWORK + (1 + router);
  }

  private static String host(int number) {
    return NETWORK + (FIRST_HOST + number);
  }

  /** Finds ports that are free at all addresses. */
  private static int firstFreePort() throws IOException {
    int first = FIRST_PORT + (int) (ProcessHandle.current().pid() % PORT_STEP) * PORT_STEP;
    for (int port = first; port < LAST_PORT; port += PORT_STEP) {
      if (areFree(port)) {
        return port;
      }
    }
    throw new IOException("no free ports");
  }

  private static boolean areFree(int firstPort) {
    List<String> hosts = new ArrayList<>();
    for (int i = 0; i < ZONES.size(); i++) {
      hosts.add(storeHost(i));
      hosts.add(host(i));
    }
    for (String host : hosts) {
      for (int port = firstPort; port < firstPort + PORTS; port++) {
        try (ServerSocket tcp = new ServerSocket(port, 1, InetAddress.getByName(host));
            DatagramSocket udp = new DatagramSocket(new InetSocketAddress(host, port))) {
          tcp.setReuseAddress(true);
          udp.setReuseAddress(true);
        } catch (IOException e) {
          return false;
        }
      }
    }
    return true;
  }

  StoreStandIn store() {
    return store;
  }

  List<Router> routers() {
    return routers;
  }

  Router router(int number) {
    return routers.get(number);
  }

  /** Starts all routers and waits until they are ready. */
  void start() throws IOException, InterruptedException {
    for (Router router : routers) {
      router.start();
    }
    for (Router router : routers) {
      router.awaitReady();
    }
  }

  private void endProcesses() {
    routers.forEach(Router::close);
  }

  @Override
  public void close() {
    endProcesses();
    store.close();
  }
}
