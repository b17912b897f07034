package dev.agatepier.standin.process.internal;

import java.lang.management.ManagementFactory;

/** Measures the processor time of a thread, which other load on the machine affects little. */
final class ProcessorTime {

  private static final double NANOS_PER_MILLI = 1e6;

  private ProcessorTime() {}

  /** Returns the processor time of the calling thread, in nanoseconds. */
  static long nanos() {
    return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
  }

  /** Returns the mean processor time of a run, in milliseconds, after as many warm-up runs. */
  static double meanMillis(int runs, Runnable work) {
    for (int run = 0; run < runs; run++) {
      work.run();
    }
    long start = nanos();
    for (int run = 0; run < runs; run++) {
      work.run();
    }
    return (nanos() - start) / NANOS_PER_MILLI / runs;
  }
}
