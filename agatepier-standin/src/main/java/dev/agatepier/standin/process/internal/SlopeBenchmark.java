package dev.agatepier.standin.process.internal;

import java.util.List;

/** A quantity whose growth is measured: the same figures at several sizes. */
interface SlopeBenchmark {

  /** Returns the name on the command line. */
  String name();

  /** Returns the sizes measured when none are given. */
  List<Integer> sizes();

  /** Returns the size that a fit is extended to. */
  int target();

  /** Measures the figures at a size. */
  List<SlopeMeasurement> measure(int size);
}
