package dev.agatepier.wire.process.internal;

import static org.testng.Assert.assertEquals;

import dev.agatepier.core.process.Room;
import dev.agatepier.core.process.ServiceSlotsStatus;
import dev.agatepier.core.process.ServiceSlotsStatus.EstimateStatus;
import dev.agatepier.core.process.ServiceSlotsStatus.UpstreamStatus;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.testng.annotations.Test;

public class UpstreamGaugesTest {

  /** Guards against gauges of upstreams whose load is not estimated, which would mean nothing. */
  @Test
  public void onlyEstimatedUpstreamsHaveGauges() {
    EstimateStatus estimate = new EstimateStatus(2, 170, OptionalLong.of(40), 12, -3, 5);
    UpstreamStatus estimated =
        new UpstreamStatus("i-1", 64, 9, 55, 20_000, 0, true, Optional.of(estimate));
    UpstreamStatus other = new UpstreamStatus("i-2", 64, 9, 55, 20_000, 0, true, Optional.empty());
    ServiceSlotsStatus service =
        new ServiceSlotsStatus("m", 0, 18, List.of(estimated, other), Room.NONE);
    assertEquals(
        UpstreamGauges.of(List.of(service)),
        Map.of(
            "upstream.i-1.running", 9,
            "upstream.i-1.other-requests", 2.0,
            "upstream.i-1.backlog-millis", 55.0,
            "upstream.i-1.pace-percent", 170.0,
            "upstream.i-1.output-token-millis", 5.0,
            "upstream.i-1.start-error-millis", 12.0,
            "upstream.i-1.start-bias-millis", -3.0,
            "upstream.i-1.statement-age-millis", 40L));
  }

  /** Guards against a wait without upstreams and memory without a bound, which are no numbers. */
  @Test
  public void roomHasGaugesForWhatItLimits() {
    Room engine = new Room(4, 20_000, 30, 1);
    Room plain = new Room(3, Double.POSITIVE_INFINITY, 8, 4);
    assertEquals(
        UpstreamGauges.of(
            List.of(
                new ServiceSlotsStatus("m", 0, 0, List.of(), engine.plus(engine)),
                new ServiceSlotsStatus("p", 0, 0, List.of(), plain),
                new ServiceSlotsStatus("none", 0, 0, List.of(), Room.NONE))),
        Map.of(
            "room.m.slots", 8,
            "room.m.wait-millis", 30.0,
            "room.m.memory-tokens", 40_000.0,
            "room.p.slots", 3,
            "room.p.wait-millis", 2.0));
  }
}
