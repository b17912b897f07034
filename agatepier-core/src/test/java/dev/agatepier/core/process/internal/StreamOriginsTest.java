package dev.agatepier.core.process.internal;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import dev.agatepier.core.request.StreamKey;
import java.util.Optional;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class StreamOriginsTest {

  private StreamOrigins origins;

  /** Starts without any stream. */
  @BeforeMethod
  public void createOrigins() {
    origins = new StreamOrigins();
  }

  /** A stream that was continued at another version by mistake still belongs to the first one. */
  @Test
  public void firstRecordOfOneStreamWins() {
    StreamKey key = key("first");
    assertTrue(origins.record(key, "v1", 0));
    assertFalse(origins.record(key, "v2", 1));
    assertEquals(origins.find(key), Optional.of("v1"));
  }

  /** Otherwise a stream would be continued at a version that may not have begun it. */
  @Test
  public void uncertaintyReplacesTheRecord() {
    StreamKey key = key("first");
    origins.record(key, "v1", 0);
    assertTrue(origins.record(key, RoutedRequest.UNCERTAIN_VERSION, 1));
    assertFalse(origins.record(key, "v1", 2));
    assertEquals(origins.find(key), Optional.of(RoutedRequest.UNCERTAIN_VERSION));
  }

  @Test
  public void streamsOfOtherWorkspacesAndServicesAreApart() {
    origins.record(StreamKey.of("w", "s", "label"), "v1", 0);
    assertEquals(origins.find(StreamKey.of("x", "s", "label")), Optional.empty());
    assertEquals(origins.find(StreamKey.of("w", "t", "label")), Optional.empty());
  }

  /** Callers must not be able to exhaust the memory of a router. */
  @Test
  public void oldestStreamsAreDroppedBeyondTheMaximum() {
    for (int index = 0; index <= StreamOrigins.MAXIMUM_STREAMS; index++) {
      origins.record(key("label" + index), "v1", index);
    }
    assertEquals(origins.size(), StreamOrigins.MAXIMUM_STREAMS);
    assertEquals(origins.find(key("label0")), Optional.empty());
    assertEquals(origins.find(key("label1")), Optional.of("v1"));
  }

  @Test
  public void streamsExpireAfterTheirLifetime() {
    origins.record(key("old"), "v1", 0);
    origins.record(key("new"), "v1", 50);
    origins.expire(60, 61);
    assertEquals(origins.find(key("old")), Optional.empty());
    assertEquals(origins.find(key("new")), Optional.of("v1"));
  }

  private static StreamKey key(String label) {
    return StreamKey.of("w", "s", label);
  }
}
