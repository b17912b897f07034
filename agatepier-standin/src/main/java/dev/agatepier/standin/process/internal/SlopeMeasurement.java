package dev.agatepier.standin.process.internal;

/**
 * One quantity measured at one size.
 *
 * @param name what was measured
 * @param unit its unit
 * @param value the measured value
 */
record SlopeMeasurement(String name, String unit, double value) {}
