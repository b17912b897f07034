package dev.agatepier.wire.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;

import com.codahale.metrics.MetricRegistry;
import dev.agatepier.core.connection.StreamMessage.OriginReply;
import dev.agatepier.core.connection.StreamMessage.OriginRequest;
import dev.agatepier.core.connection.StreamMessage.StreamBegan;
import dev.agatepier.core.process.RouterEffect.SendToOriginCache;
import dev.agatepier.core.process.RouterEvent;
import dev.agatepier.core.process.RouterEvent.OriginCacheReplied;
import dev.agatepier.core.request.StreamKey;
import dev.agatepier.wire.connection.OriginCacheClient;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import reactor.netty.tcp.TcpResources;

/** Routers and an origin cache that talk over UDP sockets. */
public class OriginCacheServiceTest {

  private static final String CACHE_ADDRESS = "127.0.0.2";
  private static final String ROUTER_ADDRESS = "127.0.0.3";
  private static final String SECRET = "secret";
  private static final StreamKey KEY = StreamKey.of("strings", "model", "a");

  private final BlockingQueue<RouterEvent> events = new LinkedBlockingQueue<>();
  private OriginCacheService cache;
  private int port;

  @BeforeMethod
  public void startCache() throws Exception {
    events.clear();
    cache =
        new OriginCacheService(
            new Endpoint(CACHE_ADDRESS, 0), SECRET.getBytes(StandardCharsets.UTF_8));
    cache.start().join();
    port = cache.port();
  }

  @AfterMethod
  public void stopCache() {
    cache.stop().join();
  }

  /** Guards against streams that no process can resume once all routers were killed. */
  @Test
  public void remembersOriginsForRoutersThatStartLater() throws Exception {
    OriginCacheClient first = startClient(SECRET);
    first.perform(new SendToOriginCache(CACHE_ADDRESS, new StreamBegan(KEY, "v1")));
    first.perform(new SendToOriginCache(CACHE_ADDRESS, new StreamBegan(KEY, "v2")));
    first.perform(new SendToOriginCache(CACHE_ADDRESS, request(1, KEY)));
    assertEquals(nextEvent(), reply(1, "v1"));
    first.stop().join();
    OriginCacheClient second = startClient(SECRET);
    second.perform(new SendToOriginCache(CACHE_ADDRESS, request(2, KEY)));
    assertEquals(nextEvent(), reply(2, "v1"));
    StreamKey other = StreamKey.of("other", "model", "a");
    second.perform(new SendToOriginCache(CACHE_ADDRESS, request(3, other)));
    assertEquals(
        nextEvent(),
        new OriginCacheReplied(CACHE_ADDRESS, new OriginReply(3, false, "", false, List.of())));
    second.stop().join();
  }

  /** A wrong version would join two streams, so that datagrams of others must have no effect. */
  @Test
  public void ignoresDatagramsWithoutTheSecret() throws Exception {
    OriginCacheClient stranger = startClient("another secret");
    stranger.perform(new SendToOriginCache(CACHE_ADDRESS, new StreamBegan(KEY, "v1")));
    stranger.perform(new SendToOriginCache(CACHE_ADDRESS, request(1, KEY)));
    assertNull(events.poll(200, TimeUnit.MILLISECONDS));
    stranger.stop().join();
  }

  private OriginCacheClient startClient(String secret) {
    OriginCacheClient client =
        new OriginCacheClient(
            new Endpoint(ROUTER_ADDRESS, port),
            secret.getBytes(StandardCharsets.UTF_8),
            TcpResources.get(),
            events::add,
            new MetricRegistry());
    client.start().join();
    return client;
  }

  private RouterEvent nextEvent() throws InterruptedException {
    return events.poll(5, TimeUnit.SECONDS);
  }

  private static OriginRequest request(long number, StreamKey key) {
    return new OriginRequest(number, key, "model", 1_000);
  }

  private static RouterEvent reply(long number, String version) {
    return new OriginCacheReplied(
        CACHE_ADDRESS, new OriginReply(number, true, version, false, List.of()));
  }
}
