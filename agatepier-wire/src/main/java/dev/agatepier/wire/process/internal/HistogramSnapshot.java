package dev.agatepier.wire.process.internal;

import com.codahale.metrics.Snapshot;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import org.HdrHistogram.Histogram;

/** Snapshot of a histogram. */
final class HistogramSnapshot extends Snapshot {

  private static final double PERCENT = 100;

  private final Histogram histogram;

  HistogramSnapshot(Histogram histogram) {
    this.histogram = histogram;
  }

  @Override
  public double getValue(double quantile) {
    return histogram.getValueAtPercentile(quantile * PERCENT);
  }

  /** Returns an empty array: a histogram does not keep single values. */
  @Override
  public long[] getValues() {
    return new long[0];
  }

  @Override
  public int size() {
    return (int) Math.min(Integer.MAX_VALUE, histogram.getTotalCount());
  }

  @Override
  public long getMax() {
    return histogram.getMaxValue();
  }

  @Override
  public double getMean() {
    return histogram.getMean();
  }

  @Override
  public long getMin() {
    return histogram.getTotalCount() == 0 ? 0 : histogram.getMinValue();
  }

  @Override
  public double getStdDev() {
    return histogram.getStdDeviation();
  }

  @Override
  public void dump(OutputStream output) {
    PrintWriter writer = new PrintWriter(output, true, StandardCharsets.UTF_8);
    histogram
        .recordedValues()
        .forEach(
            value ->
                writer.println(
                    value.getValueIteratedTo() + " " + value.getCountAtValueIteratedTo()));
  }
}
