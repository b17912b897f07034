package dev.agatepier.wire.version;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import dev.agatepier.core.connection.VersionMessage.PageReference;
import dev.agatepier.wire.request.Digests;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.server.HttpServer;

public class PlatformClientTest {

  private static final String HALF_PAGE = "x".repeat(TableReader.MAXIMUM_PAGE_BYTES / 2);

  private DisposableServer server;
  private String body;
  private int status;

  @BeforeClass
  public void start() {
    server =
        HttpServer.create()
            .host("127.0.0.1")
            .port(0)
            .handle(
                (request, response) ->
                    request.uri().contains("large")
                        ? response.sendString(Flux.just(HALF_PAGE, HALF_PAGE, "x"))
                        : response.status(status).sendString(Mono.just(body)))
            .bindNow();
  }

  @AfterClass
  public void stop() {
    server.disposeNow();
  }

  @DataProvider
  public Object[][] manifests() {
    String page = "{\"name\":\"workspaces-1\",\"digest\":\"%s\",\"size\":%d}";
    String digest = "ab".repeat(32);
    return new Object[][] {
      {200, "{\"version\":", "the platform's response is not JSON"},
      {200, "[]", "pages must be a list of at most 256 elements"},
      {200, "{\"version\":\"7\",\"pages\":[]}", "version must be a whole number"},
      {
        200,
        "{\"version\":-7,\"pages\":[]}",
        "version must be from 0 to 9223372036854775807, but is -7"
      },
      {
        200,
        "{\"version\":7,\"pages\":[" + page.formatted("ab", 1) + "]}",
        "a page of the manifest has an invalid name"
      },
      {
        200,
        "{\"version\":7,\"pages\":[" + page.formatted(digest, 1_048_577) + "]}",
        "size must be from 0 to 1048576, but is 1048577"
      },
      {503, "", "the platform responded with 503"},
    };
  }

  @Test(dataProvider = "manifests")
  public void invalidResponseFailsWithPlatformException(int code, String content, String message) {
    status = code;
    body = content;
    assertFails(client().manifest(0, 0), message);
  }

  @Test
  public void pageSizeAndDigestAreVerified() {
    status = 200;
    body = "other";
    String digest = Digests.of("page");
    assertFails(client().page(new PageReference("services-1", digest, 4)), "the digest of page");
    assertFails(
        client().page(new PageReference("large", digest, 4)),
        "the response body exceeds 1048576 bytes");
  }

  private PlatformClient client() {
    return new PlatformClient(HttpClient.create(), "http://127.0.0.1:" + server.port());
  }

  private static void assertFails(CompletableFuture<?> read, String message) {
    Throwable cause =
        expectThrows(ExecutionException.class, () -> read.get(10, TimeUnit.SECONDS)).getCause();
    assertEquals(cause.getClass(), PlatformException.class);
    assertTrue(cause.getMessage().startsWith(message), cause.getMessage());
  }
}
