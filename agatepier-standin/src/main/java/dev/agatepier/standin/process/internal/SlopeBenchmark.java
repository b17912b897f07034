package dev.agatepier.standin.process.internal;

import java.util.List;

/** A benchmark that measures the same quantities at several sizes, to fit their growth. */
interface SlopeBenchmark {

  /** Returns the name on the command line. */
  String name();

  /** Returns the sizes measured by default. */
  List<Integer> sizes();

  /** Returns the size to which a fit is extrapolated. */
  int target();

  /** Measures the quantities at a size. */
  List<SlopeMeasurement> measure(int size);
}
