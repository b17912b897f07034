package dev.agatepier.standin.process.internal;

import java.util.List;

/**
 * A straight line through measured points by least squares.
 *
 * @param slope growth for each unit of size
 * @param intercept value at size 0
 * @param residual greatest distance of a point from the line, as a share of the greatest value
 */
record LinearFit(double slope, double intercept, double residual) {

  /** Returns the line through the points of equal index. */
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
    double greatest = 0;
    double worst = 0;
    for (int index = 0; index < sizes.size(); index++) {
      greatest = Math.max(greatest, Math.abs(values.get(index)));
      worst = Math.max(worst, Math.abs(values.get(index) - line.at(sizes.get(index))));
    }
    return new LinearFit(slope, line.intercept(), greatest == 0 ? 0 : worst / greatest);
  }

  double at(double size) {
    return intercept + slope * size;
  }
}
