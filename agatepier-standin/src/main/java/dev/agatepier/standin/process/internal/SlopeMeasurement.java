package dev.agatepier.standin.process.internal;

/**
 * A quantity measured at one size.
 *
 * @param name name of the quantity
 * @param unit its unit
 * @param value the measured value
 */
record SlopeMeasurement(String name, String unit, double value) {}
