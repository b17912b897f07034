package dev.agatepier.standin.process.internal;

import java.util.List;

/**
 * A straight line fitted to measured points by least squares.
 *
 * @param slope growth per unit of size
 * @param intercept value at size 0
 * @param residual largest vertical distance of a point from the line, as a fraction of the largest
 *     absolute value
 */
record LinearFit(double slope, double intercept, double residual) {

  /** Fits a line to the points that the sizes and values of equal index form. */
  static LinearFit of(List<Integer> sizes, List<Double> values) {
    double meanSize = sizes.stream().mapToInt(Integer::intValue).average().orElseThrow();
    double meanValue = values.stream().mapToDouble(Double::doubleValue).average().orElseThrow();
    double covariance = 0;
    double variance = 0;
    for (int index = 0; index < sizes.size(); index++) {
      double distance = sizes.get(index) - meanSize;
      covariance += distance * (values.get(index) - meanValue);
      variance += distance * distance;
    }
    double slope = variance == 0 ? 0 : covariance / variance;
    LinearFit line = new LinearFit(slope, meanValue - slope * meanSize, 0);
    double largestValue = 0;
    double largestDistance = 0;
    for (int index = 0; index < sizes.size(); index++) {
      largestValue = Math.max(largestValue, Math.abs(values.get(index)));
      largestDistance =
          Math.max(largestDistance, Math.abs(values.get(index) - line.at(sizes.get(index))));
    }
    return new LinearFit(
        slope, line.intercept(), largestValue == 0 ? 0 : largestDistance / largestValue);
  }

  double at(double size) {
    return intercept + slope * size;
  }
}
