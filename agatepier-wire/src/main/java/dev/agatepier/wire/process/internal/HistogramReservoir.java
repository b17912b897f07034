package dev.agatepier.wire.process.internal;

import com.codahale.metrics.Reservoir;
import com.codahale.metrics.Snapshot;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.IntCountsHistogram;

/** Records all values since the process started with two significant digits. */
final class HistogramReservoir implements Reservoir {

  private static final int SIGNIFICANT_DIGITS = 2;

  private final IntCountsHistogram histogram = new IntCountsHistogram(SIGNIFICANT_DIGITS);

  @Override
  public synchronized int size() {
    return (int) Math.min(Integer.MAX_VALUE, histogram.getTotalCount());
  }

  @Override
  public synchronized void update(long value) {
    histogram.recordValue(Math.max(0, value));
  }

  @Override
  public synchronized Snapshot getSnapshot() {
    Histogram copy = new Histogram(SIGNIFICANT_DIGITS);
    copy.setAutoResize(true);
    copy.add(histogram);
    return new HistogramSnapshot(copy);
  }
}
