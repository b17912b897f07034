package dev.agatepier.wire.process.internal;

import static org.testng.Assert.assertEquals;

import com.codahale.metrics.MetricRegistry;
import dev.agatepier.core.process.RouterEffect.StreamContinued;
import dev.agatepier.core.request.AttemptId;
import dev.agatepier.core.request.RequestId;
import dev.agatepier.wire.RecordedLog;
import java.util.List;
import org.testng.annotations.Test;

public class ContinuationRecordsTest {

  private static final AttemptId ATTEMPT = new AttemptId(new RequestId("seam", 7, 1), 2);

  /** Operators must see events that are lost or come twice where a stream goes on. */
  @Test
  public void countsContinuationsByTheirSeam() {
    MetricRegistry registry = new MetricRegistry();
    RequestMetrics metrics = new RequestMetrics(registry);
    metrics.recordContinuation(new StreamContinued(ATTEMPT, 4, 5, true));
    metrics.recordContinuation(new StreamContinued(ATTEMPT, 4, 7, true));
    metrics.recordContinuation(new StreamContinued(ATTEMPT, 4, 8, false));
    metrics.recordContinuation(new StreamContinued(ATTEMPT, 4, 0, false));
    assertEquals(registry.counter("upstreams.continued-in-order").getCount(), 1);
    assertEquals(registry.counter("upstreams.continued-missing-events").getCount(), 2);
    assertEquals(registry.counter("upstreams.continued-repeated-events").getCount(), 1);
  }

  /** Without both numbers a line cannot tell a lost event from a repeated one. */
  @Test
  public void logsBothSidesOfSeam() {
    try (RecordedLog log = new RecordedLog(RequestLog.class)) {
      RequestLog.logStreamContinued(new StreamContinued(ATTEMPT, 4, 7, true));
      String fields =
          "attempt=\"2\" event=\"stream-continued\" firstEvent=\"7\" missing=\"2\" repeated=\"0\""
              + " request=\"seam/7/1\" resumeAfter=\"4\" sameCall=\"true\"";
      assertEquals(log.of("stream-continued", ATTEMPT.request()), List.of(fields));
    }
  }
}
