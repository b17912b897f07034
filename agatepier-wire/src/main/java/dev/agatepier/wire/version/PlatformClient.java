package dev.agatepier.wire.version;

import dev.agatepier.core.connection.VersionMessage.ManifestTransfer;
import dev.agatepier.core.connection.VersionMessage.PageReference;
import dev.agatepier.core.request.Bytes;
import dev.agatepier.core.version.ReadTimestamp;
import dev.agatepier.wire.request.Digests;
import dev.agatepier.wire.version.internal.PlatformJson;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.LongAdder;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;

/** Reads the platform over HTTP; every response is bounded in size and time. */
public final class PlatformClient implements Platform {

  /** Maximum bytes of a manifest. */
  private static final int MAXIMUM_MANIFEST_BYTES = 1_048_576;

  /** Maximum bytes of an instance list. */
  private static final int MAXIMUM_INSTANCES_BYTES = 8_388_608;

  /** Time that a response may take beyond the requested wait. */
  private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(2);

  private static final int STATUS_OK = 200;
  private static final int STATUS_UNCHANGED = 204;

  private final HttpClient client;
  private final LongAdder startedReads = new LongAdder();

  /**
   * Creates the client.
   *
   * @param client HTTP client whose connections are used
   * @param address base address, such as {@code http://127.0.0.1:7000}
   */
  public PlatformClient(HttpClient client, String address) {
    this.client = client.baseUrl(address);
  }

  /** Returns the number of reads that were started; a long poll counts as one. */
  public long readCount() {
    return startedReads.sum();
  }

  @Override
  public CompletableFuture<Optional<ManifestTransfer>> manifest(long after, int waitSeconds) {
    return get(
            longPollPath("/v1/table/manifest", after, waitSeconds),
            waitSeconds,
            MAXIMUM_MANIFEST_BYTES)
        .thenApply(body -> body.map(Bytes::text).map(PlatformJson::parseManifest));
  }

  @Override
  public CompletableFuture<Bytes> page(PageReference page) {
    return get("/v1/table/pages/" + page.name(), 0, TableReader.MAXIMUM_PAGE_BYTES)
        .thenApply(body -> verifyDigest(page, body.orElse(Bytes.EMPTY)));
  }

  @Override
  public CompletableFuture<InstanceListRead> instances(
      long after, int waitSeconds, ReadTimestamp calledAt) {
    return get(
            longPollPath("/v1/instances", after, waitSeconds), waitSeconds, MAXIMUM_INSTANCES_BYTES)
        .thenApply(body -> body.map(Bytes::text).map(PlatformJson::parseInstances))
        .thenApply(newer -> new InstanceListRead(newer, calledAt));
  }

  private static String longPollPath(String path, long after, int waitSeconds) {
    return waitSeconds > 0 ? path + "?after=" + after + "&wait=" + waitSeconds : path;
  }

  private static Bytes verifyDigest(PageReference page, Bytes content) {
    if (!Digests.of(content.array()).equals(page.digest())) {
      throw new PlatformException("the digest of page " + page.name() + " does not match");
    }
    return content;
  }

  private CompletableFuture<Optional<Bytes>> get(String path, int waitSeconds, int maximumBytes) {
    startedReads.increment();
    return client
        .get()
        .uri(path)
        .response(
            (response, content) ->
                switch (response.status().code()) {
                  case STATUS_OK -> BodyReader.read(content, maximumBytes).map(Optional::of);
                  case STATUS_UNCHANGED -> Mono.just(Optional.<Bytes>empty());
                  default ->
                      Mono.<Optional<Bytes>>error(
                          new PlatformException(
                              "the platform responded with " + response.status()));
                })
        .next()
        .timeout(RESPONSE_TIMEOUT.plusSeconds(waitSeconds))
        .onErrorMap(
            failure -> !(failure instanceof PlatformException),
            failure -> new PlatformException("the platform cannot be read: " + path, failure))
        .toFuture();
  }
}
