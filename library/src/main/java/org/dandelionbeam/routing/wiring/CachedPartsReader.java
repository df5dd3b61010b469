package org.dandelionbeam.routing.wiring;

import static java.util.Objects.requireNonNull;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.dandelionbeam.base.Verdict;
import org.dandelionbeam.routing.PromptProfile;
import org.dandelionbeam.routing.ServiceSpec;
import org.dandelionbeam.routing.UpstreamInstance;

/**
 * Asks each engine which prompt parts it has cached when this router becomes its scheduler, so that
 * the router does not treat them as uncached. Confined to one event loop.
 */
final class CachedPartsReader {
  /** Time for which an engine must be assigned to this router, as assignments may change twice. */
  private static final Duration QUERY_DELAY = Duration.ofMillis(300);

  /** Timeout of a query; a late list is out of date, as new requests have changed the cache. */
  private static final Duration TIMEOUT = Duration.ofSeconds(1);

  /** Enough for some thousand parts; longer lists are ignored. */
  private static final int MAX_BODY_BYTES = 1 << 20;

  private final RouterContext router;
  private final Map<Integer, Long> assignedSince = new HashMap<>();
  private final Set<Integer> queried = new HashSet<>();

  CachedPartsReader(RouterContext router) {
    this.router = requireNonNull(router, "router");
  }

  /** Queries the engines that were assigned to this router lately. */
  void queryNewEngines() {
    long now = router.advanceTime();
    Set<Integer> assigned = new HashSet<>();
    for (ServiceSpec service : engineServices()) {
      for (UpstreamInstance engine :
          router.scheduling().service().upstreams().assigned(service.name())) {
        assigned.add(engine.number());
        long since = assignedSince.computeIfAbsent(engine.number(), number -> now);
        if (now - since >= QUERY_DELAY.toNanos() && queried.add(engine.number())) {
          query(engine);
        }
      }
    }
    assignedSince.keySet().retainAll(assigned);
    queried.retainAll(assigned);
  }

  private List<ServiceSpec> engineServices() {
    return router.fleet().table().stream()
        .flatMap(table -> table.services().stream())
        .filter(service -> service.engine().isPresent())
        .toList();
  }

  private void query(UpstreamInstance engine) {
    ResponseListener listener = new ResponseListener(engine);
    UpstreamExchange exchange =
        new UpstreamExchange(
            router.dialect(), router.dialect().cachedPartsRequest(engine.endpoint()), "", listener);
    router.pool().start(engine.endpoint(), exchange);
    router.loop().schedule(exchange::abandon, TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
  }

  /** Collects the response of one engine. */
  private final class ResponseListener implements UpstreamExchange.Listener {
    private final UpstreamInstance engine;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private boolean usable;

    ResponseListener(UpstreamInstance engine) {
      this.engine = engine;
    }

    @Override
    public void head(HttpResponse head, HttpDialect.ResponseMetadata metadata) {
      usable = head.status().code() == HttpResponseStatus.OK.code();
    }

    @Override
    public void content(ByteBuf part) {
      usable &= body.size() + part.readableBytes() <= MAX_BODY_BYTES;
      if (usable) {
        body.writeBytes(ByteBufUtil.getBytes(part));
      }
    }

    @Override
    public void readComplete() {}

    @Override
    public void complete(BodyFraming framing) {
      if (!usable) {
        log("response status is not 200 or the body is too large", 0);
        return;
      }
      try {
        List<PromptProfile.Part> parts = router.dialect().readCachedParts(body.toByteArray());
        router.fleet().prefixCaches().recordListing(engine.number(), parts, router.advanceTime());
        log("listed", parts.size());
      } catch (IOException e) {
        log("unreadable response: " + e.getMessage(), 0);
      }
    }

    @Override
    public void failed(Verdict verdict, String cause) {
      log(cause, 0);
    }

    private void log(String outcome, int parts) {
      router
          .log()
          .line("held_parts")
          .with("upstream", engine.id())
          .with("parts", parts)
          .with("outcome", outcome)
          .write();
    }
  }
}
