package dev.agatepier.standin.process.internal;

import java.util.List;
import java.util.Locale;

/** Plots the fairness gap over time and its bound as SVG. */
final class GapPlot {

  private static final int WIDTH = 720;
  private static final int HEIGHT = 320;
  private static final int MARGIN = 60;
  private static final double HEADROOM = 1.05;

  private final List<Long> millis;
  private final List<Double> values;
  private final double bound;
  private final double top;

  /**
   * Creates a plot of the samples, with a horizontal line at the bound.
   *
   * @param millis times of the samples, in milliseconds
   * @param values values of the samples
   * @param bound value of the horizontal line
   */
  GapPlot(List<Long> millis, List<Double> values, double bound) {
    this.millis = millis;
    this.values = values;
    this.bound = bound;
    double largest = values.stream().mapToDouble(each -> each).max().orElse(0);
    top = HEADROOM * Math.max(1, Math.max(bound, largest));
  }

  /** Returns the SVG document. */
  String svg(String title) {
    StringBuilder points = new StringBuilder();
    for (int index = 0; index < values.size(); index++) {
      points.append(
          format("%.1f,%.1f ", horizontal(millis.get(index)), vertical(values.get(index))));
    }
    return format(
            "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\""
                + " font-family=\"sans-serif\" font-size=\"12\">%n",
            WIDTH, HEIGHT)
        + label(MARGIN, MARGIN / 2, title)
        + line(MARGIN, vertical(0), WIDTH - MARGIN, vertical(0), "black")
        + line(MARGIN, vertical(0), MARGIN, vertical(top), "black")
        + line(MARGIN, vertical(bound), WIDTH - MARGIN, vertical(bound), "red")
        + label(MARGIN + 4, vertical(bound) - 4, format("bound %.0f", bound))
        + label(4, vertical(0), "0")
        + label(4, vertical(top) + 12, format("%.0f", top))
        + label(WIDTH - MARGIN, vertical(0) + 16, format("%.0f s", lastMillis() / 1_000.0))
        + format("<polyline fill=\"none\" stroke=\"blue\" points=\"%s\"/>%n</svg>%n", points);
  }

  private double horizontal(long atMillis) {
    return MARGIN + (WIDTH - 2.0 * MARGIN) * atMillis / lastMillis();
  }

  private double vertical(double value) {
    return HEIGHT - MARGIN - (HEIGHT - 2.0 * MARGIN) * value / top;
  }

  private long lastMillis() {
    return millis.isEmpty() ? 1 : Math.max(1, millis.getLast());
  }

  private static String line(double x1, double y1, double x2, double y2, String colour) {
    return format(
        "<line x1=\"%.1f\" y1=\"%.1f\" x2=\"%.1f\" y2=\"%.1f\" stroke=\"%s\"/>%n",
        x1, y1, x2, y2, colour);
  }

  private static String label(double x, double y, String text) {
    return format("<text x=\"%.1f\" y=\"%.1f\">%s</text>%n", x, y, text);
  }

  private static String format(String pattern, Object... values) {
    return String.format(Locale.ROOT, pattern, values);
  }
}
